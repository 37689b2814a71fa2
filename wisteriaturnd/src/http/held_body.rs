//! Request bodies that are sent only after the other side has asked for them.
//!
//! A request with `Expect: 100-continue` (RFC 9110, 10.1.1) sends its head first.
//! The other side answers `100` when it starts to read the body, or refuses the
//! request, and then no byte of the body has crossed the link.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::task::AtomicWaker;
use hyper::Request;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{EXPECT, HeaderValue};

use crate::http::body::{BodyError, NodeBody, boxed};

/// Whether the other side has asked for the body of a request. It is an extension of
/// the request; clones share the state.
#[derive(Debug, Clone, Default)]
pub struct SendPermission(Arc<PermissionState>);

#[derive(Debug, Default)]
struct PermissionState {
    is_granted: AtomicBool,
    waker: AtomicWaker,
}

impl SendPermission {
    /// Lets the body be sent.
    pub fn grant(&self) {
        self.0.is_granted.store(true, Ordering::Release);
        self.0.waker.wake();
    }
}

/// A body that is pending until it may be sent.
struct HeldBody {
    inner: NodeBody,
    permission: SendPermission,
}

/// Makes a request send its body only once the other side has asked for it, which
/// [`exchange::send`](crate::http::exchange::send) notices.
pub fn hold_body(request: Request<NodeBody>) -> Request<NodeBody> {
    let permission = SendPermission::default();
    let mut request = request.map(|inner| {
        let permission = permission.clone();
        boxed(HeldBody { inner, permission })
    });
    let value = HeaderValue::from_static("100-continue");
    request.headers_mut().insert(EXPECT, value);
    request.extensions_mut().insert(permission);
    request
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let state = &self.permission.0;
        state.waker.register(context.waker());
        if !state.is_granted.load(Ordering::Acquire) {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
