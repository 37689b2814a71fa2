//! The headers that nodes add, and those that must not pass a node.
//!
//! Headers that travel between nodes are never believed from a caller: the
//! ingress strips them all. Two are for callers as well: the outcome of a call
//! and the time that a caller allows for it.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

/// Prefix of all headers of the mesh.
pub const PREFIX: &str = "wisteriaturn-";

/// What became of a call; towards callers and between nodes.
pub const OUTCOME: HeaderName = HeaderName::from_static("wisteriaturn-outcome");
/// Why a call has no answer of a target; towards callers and between nodes.
pub const REASON: HeaderName = HeaderName::from_static("wisteriaturn-reason");
/// Says that an answer was kept from an earlier run of the same key.
pub const REPLAYED: HeaderName = HeaderName::from_static("wisteriaturn-replayed");
/// Time that is left for a call, in milliseconds; from callers and between nodes.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("wisteriaturn-deadline-ms");
/// Identifier of an attempt; between nodes and towards targets.
pub const CALL: HeaderName = HeaderName::from_static("wisteriaturn-call");
/// Service of a call; between nodes.
pub const SERVICE: HeaderName = HeaderName::from_static("wisteriaturn-service");
/// Class of a call; between nodes.
pub const CLASS: HeaderName = HeaderName::from_static("wisteriaturn-class");
/// Whether a call is idempotent; between nodes.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("wisteriaturn-idempotent");
/// Fingerprint of a request; between nodes.
pub const FINGERPRINT: HeaderName = HeaderName::from_static("wisteriaturn-fingerprint");
/// Asks about a call instead of making one; between nodes.
pub const INQUIRY: HeaderName = HeaderName::from_static("wisteriaturn-ask");
/// Calls that a gate has running or waiting; between nodes.
pub const BUSY: HeaderName = HeaderName::from_static("wisteriaturn-busy");
/// Says that an attempt must not be made again anywhere; between nodes.
pub const NO_RETRY: HeaderName = HeaderName::from_static("wisteriaturn-no-retry");
/// Key under which a caller may send a call again.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Rank of a call among those that wait; between nodes.
pub const PRIORITY: HeaderName = HeaderName::from_static("wisteriaturn-priority");
/// Route of a call; between nodes.
pub const ROUTE: HeaderName = HeaderName::from_static("wisteriaturn-route");
/// Time left within which an answer is worth most, in milliseconds; between nodes.
pub const LATENCY_TARGET_MS: HeaderName = HeaderName::from_static("wisteriaturn-aim-ms");
/// Longest wait for a slot that is better than going elsewhere, in milliseconds;
/// between nodes. Without it a call waits as long as it can.
pub const MAX_WAIT_MS: HeaderName = HeaderName::from_static("wisteriaturn-patience-ms");
/// Mean time that a gate's target takes for calls of the route, in microseconds;
/// between nodes.
pub const MEAN_RUN_US: HeaderName = HeaderName::from_static("wisteriaturn-mean-run-us");
/// Time after which a gate expects room, in milliseconds; between nodes.
pub const EXPECTED_WAIT_MS: HeaderName = HeaderName::from_static("wisteriaturn-room-ms");

/// The headers that callers and targets know, which differ between the places
/// that a node runs in. What nodes tell each other has names of its own.
#[derive(Debug, Clone)]
pub struct EdgeHeaders {
    /// Time that is left for a call, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The caller's name for its attempt, which targets repeat.
    pub request_id: HeaderName,
    /// The target that is to run a call; another one refuses it.
    pub expected_instance: HeaderName,
    /// The service from whose VM a call came.
    pub caller_service: HeaderName,
    /// Says that a target did not run a call.
    pub not_run: HeaderName,
    /// Stands on every success of a target, where targets sign theirs.
    pub response_stamp: Option<HeaderName>,
    /// Whether callers read a `Retry-After` with a fraction.
    pub has_fractional_retry_after: bool,
}

impl EdgeHeaders {
    /// Returns the names of the product's own interface.
    pub fn standard() -> Self {
        Self {
            deadline_ms: DEADLINE_MS,
            request_id: HeaderName::from_static("wisteriaturn-request-id"),
            expected_instance: HeaderName::from_static("wisteriaturn-expected-instance"),
            caller_service: HeaderName::from_static("wisteriaturn-caller-service"),
            not_run: HeaderName::from_static("wisteriaturn-not-run"),
            response_stamp: None,
            has_fractional_retry_after: false,
        }
    }
}

/// Longest idempotency key in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Headers of one connection (RFC 9110, 7.6.1), which must not be passed on.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "upgrade",
];

/// Removes the headers of one connection, also those that `Connection` names.
/// The framing headers go too: the next connection has its own.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(hyper::header::CONNECTION) {
        let text = value.to_str().unwrap_or_default();
        named.extend(
            text.split(',')
                .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok()),
        );
    }
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(hyper::header::TRANSFER_ENCODING);
}

/// Removes every header of the mesh.
pub fn strip_mesh(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Returns the text of a header that appears once.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns a header parsed to its type.
pub fn parsed<T>(headers: &HeaderMap, name: &HeaderName) -> Option<T>
where
    T: std::str::FromStr,
{
    text(headers, name).and_then(|text| text.parse().ok())
}

/// Returns the time that is left for a call, by a header of that name.
pub fn parsed_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    parsed::<u64>(headers, name).map(Duration::from_millis)
}

/// Sets a header to the text of a value.
pub fn set<T>(headers: &mut HeaderMap, name: HeaderName, value: T)
where
    T: ToString,
{
    // All values set here are numbers or names of fixed sets, so they are
    // valid; a value that is not leaves the header out.
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}
