//! Bodies of requests and answers on their way through a node.
//!
//! Bodies stream: an archive of any size passes through a bounded number of
//! bytes. Only the first bytes of a request are kept, so that a small request
//! can be sent again; a larger one is sent at most once.

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

/// The error of a body, whatever its source.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Any body.
pub type NodeBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body of known bytes.
pub fn full(bytes: Bytes) -> NodeBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an empty body.
pub fn empty() -> NodeBody {
    full(Bytes::new())
}

/// Boxes a body.
pub fn boxed<B>(body: B) -> NodeBody
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// A request body: whole when it is small, else a prefix and the rest.
#[derive(Debug)]
pub enum BufferedBody {
    /// All bytes; the request can be sent again.
    Whole(Bytes),
    /// The first bytes and the rest; the request can be sent once.
    Stream {
        /// Bytes read so far.
        prefix: Bytes,
        /// What is still to be read, until it is sent.
        rest: Option<NodeBody>,
    },
}

impl BufferedBody {
    /// Reads up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// The error of the caller's connection.
    pub async fn read(mut body: NodeBody, limit: usize) -> Result<Self, BodyError> {
        let mut read = BytesMut::new();
        while read.len() <= limit {
            let Some(frame) = body.frame().await else {
                return Ok(BufferedBody::Whole(read.freeze()));
            };
            if let Ok(data) = frame?.into_data() {
                read.extend_from_slice(&data);
            }
        }
        Ok(BufferedBody::Stream {
            prefix: read.freeze(),
            rest: Some(body),
        })
    }

    /// Returns the first bytes, from which a fingerprint is made.
    pub fn prefix(&self) -> &Bytes {
        match self {
            BufferedBody::Whole(bytes) => bytes,
            BufferedBody::Stream { prefix, .. } => prefix,
        }
    }

    /// Returns a body for the next attempt, or nothing when it was sent.
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

    /// Tells whether another attempt can be made.
    pub fn is_replayable(&self) -> bool {
        matches!(self, BufferedBody::Whole(_))
    }
}

/// Bytes that were read already, then the rest of a body.
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
        let read = self.prefix.as_ref().map_or(0, Bytes::len) as u64;
        let mut hint = self.rest.size_hint();
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + read);
        }
        hint.set_lower(hint.lower() + read);
        hint
    }
}

/// A body that fails when its source makes no progress for a time.
///
/// Only time in which the reader waits for the source counts: a slow reader is
/// the business of its connection.
struct StallBody {
    inner: NodeBody,
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

/// Returns `inner`, which fails after `limit` without progress.
pub fn with_stall_timeout(inner: NodeBody, limit: Duration) -> NodeBody {
    boxed(StallBody {
        inner,
        limit,
        timer: None,
    })
}

impl Body for StallBody {
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
        let limit = self.limit;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Some(Err("the source of the body stalled".into())))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A body that counts the bytes that pass.
pub struct CountedBody {
    inner: NodeBody,
    bytes: Arc<AtomicU64>,
}

impl CountedBody {
    /// Returns `inner`, which adds what passes to `bytes`.
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

/// How a guarded body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// All bytes were passed on.
    Whole,
    /// The source failed.
    Failed,
    /// The reader went away.
    Dropped,
}

/// A body that tells its end once, and holds what must live until then.
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
    /// Returns `inner`, which calls `on_end` when it ends or is dropped.
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
