//! HTTP headers that nodes add, and headers that nodes must not forward.
//!
//! The headers of the mesh are trusted only between nodes: the ingress removes
//! them from the requests of callers. Callers use two of them as well: the
//! outcome of a call, and the time that remains for it.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

/// Prefix of the mesh's headers.
pub const PREFIX: &str = "wisteriaturn-";

/// Outcome of a call; to callers and between nodes.
pub const OUTCOME: HeaderName = HeaderName::from_static("wisteriaturn-outcome");
/// Reason why a call has no answer from a target; to callers and between nodes.
pub const REASON: HeaderName = HeaderName::from_static("wisteriaturn-reason");
/// Set if the answer was stored by an earlier run with the same idempotency key.
pub const REPLAYED: HeaderName = HeaderName::from_static("wisteriaturn-replayed");
/// Time that remains for a call, in milliseconds; from callers and between nodes.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("wisteriaturn-deadline-ms");
/// Identifier of an attempt; between nodes and to targets.
pub const CALL: HeaderName = HeaderName::from_static("wisteriaturn-call");
/// Service of a call; between nodes.
pub const SERVICE: HeaderName = HeaderName::from_static("wisteriaturn-service");
/// Class of a call; between nodes.
pub const CLASS: HeaderName = HeaderName::from_static("wisteriaturn-class");
/// Whether a call is idempotent; between nodes.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("wisteriaturn-idempotent");
/// Fingerprint of a request; between nodes.
pub const FINGERPRINT: HeaderName = HeaderName::from_static("wisteriaturn-fingerprint");
/// Set if the request inquires about a call instead of making one; between
/// nodes.
pub const INQUIRY: HeaderName = HeaderName::from_static("wisteriaturn-ask");
/// Number of calls that are running or waiting at a gate; between nodes.
pub const BUSY: HeaderName = HeaderName::from_static("wisteriaturn-busy");
/// Set if the call must not be retried at any target; between nodes.
pub const NO_RETRY: HeaderName = HeaderName::from_static("wisteriaturn-no-retry");
/// Key with which a caller can safely retry a call; from callers.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Priority of a call within its class; between nodes.
pub const PRIORITY: HeaderName = HeaderName::from_static("wisteriaturn-priority");
/// Set if a run at work makes the call; between nodes.
pub const OF_RUN: HeaderName = HeaderName::from_static("wisteriaturn-of-run");
/// Route of a call; between nodes.
pub const ROUTE: HeaderName = HeaderName::from_static("wisteriaturn-route");
/// Time until the soft deadline of a call, in milliseconds; between nodes. A
/// later answer is less useful to the caller.
pub const SOFT_DEADLINE_MS: HeaderName = HeaderName::from_static("wisteriaturn-aim-ms");
/// Longest wait for a slot that is still better than trying another target, in
/// milliseconds; between nodes. Without it, a call waits as long as its deadline
/// allows.
pub const MAX_WAIT_MS: HeaderName = HeaderName::from_static("wisteriaturn-patience-ms");
/// Mean run time at a gate of calls of the route, in microseconds; between
/// nodes.
pub const MEAN_RUN_US: HeaderName = HeaderName::from_static("wisteriaturn-mean-run-us");
/// Time after which an additional call can expect a slot at a gate, in
/// milliseconds; between nodes.
pub const EXPECTED_WAIT_MS: HeaderName = HeaderName::from_static("wisteriaturn-room-ms");

/// What a target states about itself: from its gate to other nodes, and back to the gate
/// if it was restarted since.
pub const TARGET_NOTICE: HeaderName = HeaderName::from_static("wisteriaturn-target-notice");

/// Expected wait for the link of a gate's VM before it receives another large
/// body, in milliseconds; between nodes. Absent if there is none.
pub const LINK_WAIT_MS: HeaderName = HeaderName::from_static("wisteriaturn-link-wait-ms");

/// Expected wait of a large answer for the link of a gate's VM, in milliseconds; between
/// nodes. Absent if there is none.
pub const ANSWER_WAIT_MS: HeaderName = HeaderName::from_static("wisteriaturn-answer-wait-ms");

/// What the sender of an answer knows of other targets of the service; between nodes.
pub const TARGET_NEWS: HeaderName = HeaderName::from_static("wisteriaturn-target-news");

/// Names of the headers that callers and targets use, and the format of
/// `Retry-After`. They depend on the platform that a node runs on, unlike the
/// headers between nodes.
#[derive(Debug, Clone)]
pub struct EdgeHeaders {
    /// Time that remains for a call, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Identifier that the caller gave to its attempt. Targets echo it.
    pub request_id: HeaderName,
    /// Instance name of the target that shall run a call. Any other target
    /// refuses the call.
    pub expected_instance: HeaderName,
    /// Service of the VM from which a call came.
    pub caller_service: HeaderName,
    /// Key by which a caller shows that it belongs to a team. It goes no further.
    pub team_key: HeaderName,
    /// Team of the caller, as targets are told it.
    pub team: HeaderName,
    /// Set by a target that did not run a call.
    pub not_run: HeaderName,
    /// Set on every successful response of a target, or `None` if targets do not
    /// stamp their responses.
    pub response_stamp: Option<HeaderName>,
    /// Rate of requests, in requests per second, that a target accepts from all
    /// callers together. Set in each answer for as long as the limit holds.
    pub target_limit: HeaderName,
    /// Set to anything but `0` in each answer of a target that is leaving.
    pub target_leaving: HeaderName,
    /// Key with which a caller can safely retry a call, or `None` if the platform's callers
    /// and targets use none; a header of that name then belongs to them.
    pub idempotency_key: Option<HeaderName>,
    /// Whether callers accept a `Retry-After` with fractions of a second.
    pub has_fractional_retry_after: bool,
}

impl EdgeHeaders {
    /// Returns the idempotency key in the headers of a call.
    pub fn find_idempotency_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        headers.get(self.idempotency_key.as_ref()?)
    }

    /// Returns the names used unless a platform defines its own.
    pub fn standard() -> Self {
        Self {
            deadline_ms: DEADLINE_MS,
            request_id: HeaderName::from_static("wisteriaturn-request-id"),
            expected_instance: HeaderName::from_static("wisteriaturn-expected-instance"),
            caller_service: HeaderName::from_static("wisteriaturn-caller-service"),
            team_key: HeaderName::from_static("wisteriaturn-team-key"),
            team: HeaderName::from_static("wisteriaturn-team"),
            not_run: HeaderName::from_static("wisteriaturn-not-run"),
            response_stamp: None,
            target_limit: HeaderName::from_static("wisteriaturn-target-limit"),
            target_leaving: HeaderName::from_static("wisteriaturn-target-leaving"),
            idempotency_key: Some(IDEMPOTENCY_KEY),
            has_fractional_retry_after: false,
        }
    }
}

/// Maximum length of an idempotency key in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Hop-by-hop headers (RFC 9110, 7.6.1), which must not be forwarded.
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

/// Removes the hop-by-hop headers, including those that `Connection` lists.
/// Also removes `Transfer-Encoding`, since the next connection has its own
/// framing.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let mut listed = Vec::new();
    for value in headers.get_all(hyper::header::CONNECTION) {
        let text = value.to_str().unwrap_or_default();
        listed.extend(
            text.split(',')
                .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok()),
        );
    }
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(hyper::header::TRANSFER_ENCODING);
}

/// Removes all headers of the mesh.
pub fn strip_mesh(headers: &mut HeaderMap) {
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
}

/// Returns the first value of a header as text, or `None` if it is missing or is
/// not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the parsed value of a header, or `None` if it is missing or malformed.
pub fn parsed<T>(headers: &HeaderMap, name: &HeaderName) -> Option<T>
where
    T: std::str::FromStr,
{
    text(headers, name).and_then(|text| text.parse().ok())
}

/// Returns a header that holds a number of milliseconds as a duration, or `None`
/// if it is missing or malformed.
pub fn parsed_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    parsed::<u64>(headers, name).map(Duration::from_millis)
}

/// Sets a header to the text form of a value.
pub fn set<T>(headers: &mut HeaderMap, name: HeaderName, value: T)
where
    T: ToString,
{
    // The values are numbers, identifiers and fixed names, which are valid in a
    // header. The header is left out if a value is not.
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}
