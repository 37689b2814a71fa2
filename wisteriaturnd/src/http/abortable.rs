//! Connections that can be ended from within the parsing of their bytes.
//!
//! hyper parses interim responses (1xx) in a loop for as long as bytes arrive, and
//! calls back for each. A server that sends them without end would keep the thread
//! of a small VM busy, and a task that waits for the exchange might not run. So the
//! callback sets a flag, and the next read fails.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Ends a connection. Clones end the same one.
#[derive(Debug, Clone, Default)]
pub struct AbortHandle(Arc<AtomicBool>);

impl AbortHandle {
    /// Makes all further reads from the connection fail.
    pub fn abort(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// A stream whose reads fail once its handle has been used.
#[derive(Debug)]
pub struct AbortableStream {
    stream: TcpStream,
    handle: AbortHandle,
}

impl AbortableStream {
    /// Wraps a stream that `handle` ends.
    pub fn new(stream: TcpStream, handle: AbortHandle) -> Self {
        Self { stream, handle }
    }
}

impl AsyncRead for AbortableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.handle.0.load(Ordering::Acquire) {
            let error = std::io::Error::other("the connection was aborted");
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for AbortableStream {
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
