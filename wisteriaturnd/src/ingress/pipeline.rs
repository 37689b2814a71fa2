//! HTTP pipelining: requests that a caller sends before the previous ones are
//! answered.
//!
//! Some callers send several reads at once on one connection. hyper serves one
//! request at a time, so the last one would wait until all the others have run.
//! This module scans the request heads on their way to hyper and starts those calls
//! early. When hyper gets to a request, its call is already in flight.
//!
//! hyper alone decides where a request begins and ends. If the scanner parses a
//! head differently, or hyper never reads that request, the early call matches none
//! of hyper's requests and is dropped, although it may have run. That is why only
//! idempotent calls without a body are started early.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use bytes::{Buf, BytesMut};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE};
use hyper::http::request::Builder;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use tokio::task::JoinHandle;
use wisteriaturn::clock::lock;
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};

use crate::gate::answer::refusal;
use crate::http::body::{NodeBody, boxed, empty};
use crate::ingress::call;
use crate::node::NodeHandle;
use crate::team::identify::CallOrigin;

/// Maximum number of early calls per connection.
const MAX_EARLY_CALLS: usize = 8;

/// Maximum number of headers in a scanned head.
const MAX_HEADERS: usize = 64;

/// Maximum size of an incomplete head that the scanner buffers, in bytes.
const MAX_PARTIAL_HEAD_BYTES: usize = 32 * 1024;

/// An incremental parser for the request heads on one connection.
#[derive(Debug, Default)]
pub struct HeadScanner {
    bytes: BytesMut,
    is_disabled: bool,
}

impl HeadScanner {
    /// Returns a scanner for a new connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Scans the next bytes of the connection and returns the requests whose heads
    /// they complete.
    ///
    /// The scanner disables itself at the first head that can't be parsed or that
    /// belongs to a request other than a GET or HEAD without a body.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Request<()>> {
        let mut found = Vec::new();
        if self.is_disabled {
            return found;
        }
        self.bytes.extend_from_slice(bytes);
        while !self.bytes.is_empty() {
            match parse_head(&self.bytes) {
                ParsedHead::Complete(request, length) => {
                    self.bytes.advance(length);
                    found.push(*request);
                }
                ParsedHead::Partial if self.bytes.len() <= MAX_PARTIAL_HEAD_BYTES => break,
                ParsedHead::Partial | ParsedHead::Unsupported => {
                    self.is_disabled = true;
                    self.bytes = BytesMut::new();
                }
            }
        }
        found
    }
}

enum ParsedHead {
    Complete(Box<Request<()>>, usize),
    Partial,
    Unsupported,
}

fn parse_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return ParsedHead::Partial,
        Err(_) => return ParsedHead::Unsupported,
    };
    match to_request(&head) {
        Some(request) if has_no_body(&request) => ParsedHead::Complete(Box::new(request), length),
        Some(_) | None => ParsedHead::Unsupported,
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
    let is_safe_method = matches!(*request.method(), Method::GET | Method::HEAD);
    let has_body = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, UPGRADE]
        .iter()
        .any(|name| map.contains_key(name));
    is_safe_method && !has_body
}

/// A call that was started before hyper has read its request.
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
    /// Number of requests that the scanner has found.
    scanned: u64,
    /// Number of requests that hyper has read.
    read: u64,
    /// Number of requests that were answered.
    answered: u64,
    early: VecDeque<EarlyCall>,
}

/// The requests of one connection, in order. Clones share the same state.
#[derive(Debug, Clone)]
pub struct CallPipeline {
    node: NodeHandle,
    origin: CallOrigin,
    state: Arc<Mutex<PipelineState>>,
}

impl CallPipeline {
    /// Returns the pipeline of a new connection from `origin`.
    pub fn new(node: NodeHandle, origin: CallOrigin) -> Self {
        Self {
            node,
            origin,
            state: Arc::default(),
        }
    }

    /// Returns the response to the next request that hyper has read.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<NodeBody> {
        let early = {
            let mut state = lock(&self.state);
            let index = state.read;
            state.read += 1;
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
            Some(_) | None => call::handle(&self.node, self.origin, request.map(boxed)).await,
        };
        lock(&self.state).answered += 1;
        response
    }

    /// Scans bytes on their way to hyper and starts the calls that may start early.
    pub(crate) fn look_ahead(&self, bytes: &[u8]) {
        let mut state = lock(&self.state);
        for request in state.scanner.feed(bytes) {
            let index = state.scanned;
            state.scanned += 1;
            // If all requests before this one are answered, hyper will read it now.
            let is_next = index == state.read && state.read == state.answered;
            if is_next || state.early.len() >= MAX_EARLY_CALLS {
                continue;
            }
            if call::may_start_early(&self.node, &request) {
                let early = self.start_early(index, request);
                state.early.push_back(early);
            }
        }
    }

    fn start_early(&self, index: u64, request: Request<()>) -> EarlyCall {
        let (method, uri) = (request.method().clone(), request.uri().clone());
        let headers = request.headers().clone();
        let (node, origin) = (self.node.clone(), self.origin);
        let task =
            tokio::spawn(
                async move { call::handle(&node, origin, request.map(|()| empty())).await },
            );
        EarlyCall {
            index,
            method,
            uri,
            headers,
            task,
        }
    }
}
