//! Requests that a caller sends before the first one is answered.
//!
//! The load pattern: a caller sends several reads at once on one connection.
//! hyper takes one after the other, so the last would wait for the runs of all
//! before it. Here a node looks ahead at the heads that have arrived and starts
//! those calls early; when hyper comes to a request, its answer is under way.
//!
//! hyper alone decides where a request begins and ends. A head that was looked
//! at too early, or read differently, matches no request of hyper's and its call
//! is dropped, which is why only idempotent calls without a body start early.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE};
use hyper::http::request::Builder;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::JoinHandle;
use wisteriaturn::clock::lock;
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};

use crate::gate::answer::refusal;
use crate::http::body::{NodeBody, boxed, empty};
use crate::ingress::call;
use crate::node::NodeHandle;

/// Most calls of one connection that are started early.
const EARLY_LIMIT: usize = 8;

/// Most headers of a head that is looked at.
const HEADER_LIMIT: usize = 64;

/// Bytes of a head that is looked at.
const SCAN_LIMIT: usize = 32 * 1024;

/// The heads in the bytes of one connection.
#[derive(Debug, Default)]
pub struct HeadScanner {
    bytes: BytesMut,
    is_off: bool,
}

impl HeadScanner {
    /// Returns a scanner at the start of a connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes and returns the requests whose heads they complete. From the
    /// first one on that has a body or cannot be read, there are no more.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Request<()>> {
        let mut found = Vec::new();
        if self.is_off {
            return found;
        }
        self.bytes.extend_from_slice(bytes);
        while !self.bytes.is_empty() {
            match read_head(&self.bytes) {
                HeadRead::Whole(request, length) => {
                    self.bytes.advance(length);
                    found.push(*request);
                }
                HeadRead::Partial if self.bytes.len() <= SCAN_LIMIT => break,
                HeadRead::Partial | HeadRead::Other => {
                    self.is_off = true;
                    self.bytes = BytesMut::new();
                }
            }
        }
        found
    }
}

enum HeadRead {
    Whole(Box<Request<()>>, usize),
    Partial,
    Other,
}

fn read_head(bytes: &[u8]) -> HeadRead {
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return HeadRead::Partial,
        Err(_) => return HeadRead::Other,
    };
    match to_request(&head) {
        Some(request) if has_no_body(&request) => HeadRead::Whole(Box::new(request), length),
        Some(_) | None => HeadRead::Other,
    }
}

fn to_request(head: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let mut builder: Builder = Request::builder()
        .method(Method::from_bytes(head.method?.as_bytes()).ok()?)
        .uri(head.path?.parse::<Uri>().ok()?);
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        builder = builder.header(name, value);
    }
    builder.body(()).ok()
}

fn has_no_body(request: &Request<()>) -> bool {
    let map = request.headers();
    let is_read = matches!(*request.method(), Method::GET | Method::HEAD);
    let has_body = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, UPGRADE]
        .iter()
        .any(|name| map.contains_key(name));
    is_read && !has_body
}

/// A call that was started before hyper came to its request.
#[derive(Debug)]
struct EarlyCall {
    index: u64,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    task: JoinHandle<Response<NodeBody>>,
}

impl Drop for EarlyCall {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EarlyCall {
    fn matches(&self, request: &Request<Incoming>) -> bool {
        self.method == *request.method()
            && self.uri == *request.uri()
            && self.headers == *request.headers()
    }
}

#[derive(Debug, Default)]
struct PipelineState {
    scanner: HeadScanner,
    seen: u64,
    begun: u64,
    ended: u64,
    early: VecDeque<EarlyCall>,
}

/// The requests of one connection in their order; a cheap handle.
#[derive(Debug, Clone)]
pub struct CallPipeline {
    node: NodeHandle,
    state: Arc<Mutex<PipelineState>>,
}

impl CallPipeline {
    /// Returns the pipeline of a new connection.
    pub fn new(node: NodeHandle) -> Self {
        Self {
            node,
            state: Arc::default(),
        }
    }

    /// Answers the next request that hyper read.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<NodeBody> {
        let early = {
            let mut state = lock(&self.state);
            let index = state.begun;
            state.begun += 1;
            state.early.retain(|early| early.index >= index);
            match state.early.front() {
                Some(early) if early.index == index => state.early.pop_front(),
                Some(_) | None => None,
            }
        };
        let response = match early {
            Some(mut early) if early.matches(&request) => {
                let lost = || refusal(CallOutcome::Unknown, RefusalReason::GateLost);
                (&mut early.task).await.unwrap_or_else(|_| lost())
            }
            Some(_) | None => call::handle(&self.node, request.map(boxed)).await,
        };
        lock(&self.state).ended += 1;
        response
    }

    /// Looks at bytes on their way to hyper.
    fn look_ahead(&self, bytes: &[u8]) {
        let mut state = lock(&self.state);
        for request in state.scanner.feed(bytes) {
            let index = state.seen;
            state.seen += 1;
            // hyper comes to the next request at once when it waits for one.
            let is_next = index == state.begun && state.begun == state.ended;
            if is_next || state.early.len() >= EARLY_LIMIT {
                continue;
            }
            if call::may_start_early(&self.node, &request) {
                let early = self.start(index, request);
                state.early.push_back(early);
            }
        }
    }

    fn start(&self, index: u64, request: Request<()>) -> EarlyCall {
        let (method, uri) = (request.method().clone(), request.uri().clone());
        let headers = request.headers().clone();
        let node = self.node.clone();
        let task =
            tokio::spawn(async move { call::handle(&node, request.map(|()| empty())).await });
        EarlyCall {
            index,
            method,
            uri,
            headers,
            task,
        }
    }
}

/// A connection whose bytes are looked at as they are read.
#[derive(Debug)]
pub struct PeekStream<S> {
    stream: S,
    pipeline: CallPipeline,
}

impl<S> PeekStream<S> {
    /// Returns `stream`, which shows what it reads to `pipeline`.
    pub fn new(stream: S, pipeline: CallPipeline) -> Self {
        Self { stream, pipeline }
    }
}

impl<S> AsyncRead for PeekStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let held = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.pipeline.look_ahead(&buffer.filled()[held..]);
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncWrite for PeekStream<S>
where
    S: AsyncWrite + Unpin,
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
