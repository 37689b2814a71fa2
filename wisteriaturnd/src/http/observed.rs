//! Streams whose bytes are looked at before hyper parses them.
//!
//! The ingress uses one to start requests early that were sent together. The pools use
//! one to end a connection from within the parsing of its bytes: hyper parses interim
//! responses (1xx) in a loop for as long as bytes arrive, and calls back for each. A
//! server that sends them without end would keep the thread of a small VM busy, and
//! a task that waits for the exchange might not run. So the callback uses an
//! [`AbortHandle`], and the next read fails.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Ends a connection. Clones end the same one.
#[derive(Debug, Clone, Default)]
pub struct AbortHandle(Arc<AtomicBool>);

impl AbortHandle {
    /// Makes further reads from the connection fail.
    pub fn abort(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns an error once the handle has been used.
    ///
    /// # Errors
    ///
    /// Returns an [`std::io::Error`] that names the reason.
    pub fn check(&self) -> std::io::Result<()> {
        if self.0.load(Ordering::Acquire) {
            return Err(std::io::Error::other("the connection was aborted"));
        }
        Ok(())
    }
}

/// A stream that passes the bytes of each read to a function, whose error fails the
/// read.
#[derive(Debug)]
pub struct ObservedStream<S, F> {
    stream: S,
    on_read: F,
}

impl<S, F> ObservedStream<S, F>
where
    F: FnMut(&[u8]) -> std::io::Result<()>,
{
    /// Wraps a stream so that `on_read` gets the bytes of each read.
    pub fn new(stream: S, on_read: F) -> Self {
        Self { stream, on_read }
    }
}

impl<S, F> AsyncRead for ObservedStream<S, F>
where
    S: AsyncRead + Unpin,
    F: FnMut(&[u8]) -> std::io::Result<()> + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        (self.on_read)(&buffer.filled()[filled_before..])?;
        Poll::Ready(Ok(()))
    }
}

impl<S, F> AsyncWrite for ObservedStream<S, F>
where
    S: AsyncWrite + Unpin,
    F: Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
