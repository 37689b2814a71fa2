//! Request and response bodies that pass through a node.
//!
//! Bodies are streamed, so that a body of any size needs a bounded amount of
//! memory. Only the first bytes of a request are buffered: a small request can
//! be retried, a larger one is sent at most once.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

/// The error of any body, with the type of its source erased.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body with the type of its source erased.
pub type NodeBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of these bytes.
pub fn full(bytes: Bytes) -> NodeBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an empty body.
pub fn empty() -> NodeBody {
    full(Bytes::new())
}

/// Erases the type of a body.
pub fn boxed<B>(body: B) -> NodeBody
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// A body whose first bytes are buffered.
#[derive(Debug)]
pub enum BufferedBody {
    /// The complete body. It can be sent any number of times.
    Whole(Bytes),
    /// The first bytes and a stream of the rest. They can be sent once.
    Stream {
        /// Bytes that have been read.
        prefix: Bytes,
        /// The remaining body, or `None` once it has been sent.
        rest: Option<NodeBody>,
    },
}

impl BufferedBody {
    /// Reads a body until it ends or exceeds `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the body.
    pub async fn read(mut body: NodeBody, limit: usize) -> Result<Self, BodyError> {
        let mut buffer = BytesMut::new();
        while buffer.len() <= limit {
            let Some(frame) = body.frame().await else {
                return Ok(BufferedBody::Whole(buffer.freeze()));
            };
            if let Ok(data) = frame?.into_data() {
                buffer.extend_from_slice(&data);
            }
        }
        Ok(BufferedBody::Stream {
            prefix: buffer.freeze(),
            rest: Some(body),
        })
    }

    /// Returns the size of the body, as far as it is known.
    pub fn size_hint(&self) -> SizeHint {
        match self {
            BufferedBody::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            BufferedBody::Stream { prefix, rest } => {
                let rest_hint = rest.as_ref().map(Body::size_hint).unwrap_or_default();
                let mut hint = SizeHint::new();
                hint.set_lower(prefix.len() as u64 + rest_hint.lower());
                hint
            }
        }
    }

    /// Returns the buffered bytes, from which fingerprints are computed.
    pub fn prefix(&self) -> &Bytes {
        match self {
            BufferedBody::Whole(bytes) => bytes,
            BufferedBody::Stream { prefix, .. } => prefix,
        }
    }

    /// Returns the body for the next attempt, or `None` if it can't be sent again.
    pub fn take_for_attempt(&mut self) -> Option<NodeBody> {
        match self {
            BufferedBody::Whole(bytes) => Some(full(bytes.clone())),
            BufferedBody::Stream { prefix, rest } => {
                let rest = rest.take()?;
                Some(boxed(PrefixedBody {
                    prefix: Some(std::mem::take(prefix)),
                    rest,
                }))
            }
        }
    }

    /// Returns `true` if the body can be sent more than once.
    pub fn is_replayable(&self) -> bool {
        matches!(self, BufferedBody::Whole(_))
    }
}

/// A body that yields bytes that were read before, followed by the rest of the
/// body.
struct PrefixedBody {
    prefix: Option<Bytes>,
    rest: NodeBody,
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        Pin::new(&mut self.rest).poll_frame(context)
    }

    fn size_hint(&self) -> SizeHint {
        let prefix_bytes = self.prefix.as_ref().map_or(0, Bytes::len) as u64;
        let mut hint = self.rest.size_hint();
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + prefix_bytes);
        }
        hint.set_lower(hint.lower() + prefix_bytes);
        hint
    }
}

/// A body that fails if its source makes no progress for the timeout.
///
/// Only the time during which the reader waits for the source counts. Slow
/// readers are limited by the write timeout of their connection.
struct StallTimeoutBody {
    inner: NodeBody,
    timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

/// Wraps a body so that it fails after `timeout` without progress.
pub fn with_stall_timeout(inner: NodeBody, timeout: Duration) -> NodeBody {
    boxed(StallTimeoutBody {
        inner,
        timeout,
        timer: None,
    })
}

impl Body for StallTimeoutBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.inner).poll_frame(context) {
            self.timer = None;
            return Poll::Ready(frame);
        }
        let timeout = self.timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Some(Err(
            "the body made no progress within the stall timeout".into(),
        )))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A body that counts the bytes that are read from it.
pub struct CountedBody {
    inner: NodeBody,
    bytes: Arc<AtomicU64>,
}

impl CountedBody {
    /// Wraps a body and adds the number of bytes read from it to `bytes`.
    pub fn new(inner: NodeBody, bytes: Arc<AtomicU64>) -> Self {
        Self { inner, bytes }
    }
}

impl std::fmt::Debug for CountedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CountedBody").finish_non_exhaustive()
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// How an [`OnEndBody`] ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The reader received the complete body.
    Whole,
    /// The source of the body failed.
    Failed,
    /// The reader dropped the body before its end.
    Dropped,
}

/// A body that calls a function once when it ends. The function can own
/// resources that are needed until then.
pub struct OnEndBody<F>
where
    F: FnOnce(BodyEnd) + Send + Unpin + 'static,
{
    inner: NodeBody,
    on_end: Option<F>,
}

impl<F> OnEndBody<F>
where
    F: FnOnce(BodyEnd) + Send + Unpin + 'static,
{
    /// Wraps a body and calls `on_end` when it ends, fails or is dropped.
    pub fn new(inner: NodeBody, on_end: F) -> Self {
        Self {
            inner,
            on_end: Some(on_end),
        }
    }

    fn finish(&mut self, end: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl<F> std::fmt::Debug for OnEndBody<F>
where
    F: FnOnce(BodyEnd) + Send + Unpin + 'static,
{
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OnEndBody").finish_non_exhaustive()
    }
}

impl<F> Body for OnEndBody<F>
where
    F: FnOnce(BodyEnd) + Send + Unpin + 'static,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        match &frame {
            None => self.finish(BodyEnd::Whole),
            Some(Err(_)) => self.finish(BodyEnd::Failed),
            Some(Ok(_)) if self.inner.is_end_stream() => self.finish(BodyEnd::Whole),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<F> Drop for OnEndBody<F>
where
    F: FnOnce(BodyEnd) + Send + Unpin + 'static,
{
    fn drop(&mut self) {
        let end = if self.inner.is_end_stream() {
            BodyEnd::Whole
        } else {
            BodyEnd::Dropped
        };
        self.finish(end);
    }
}
