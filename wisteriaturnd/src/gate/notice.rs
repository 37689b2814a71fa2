//! Reads what targets state about themselves in their answers, and acts on it.

use std::time::Instant;

use hyper::HeaderMap;
use wisteriaturn::clock::lock;
use wisteriaturn::gate::notice::AnswerNotice;
use wisteriaturn::ids::RequestRate;

use crate::gate::targets::LocalTarget;
use crate::http::headers::{self, EdgeHeaders};
use crate::logs::Sanitized;
use crate::mesh::hop::GateCall;
use crate::node::NodeHandle;

/// Records what the target states in an answer to `call`, whose request was sent at
/// `sent_at`.
pub(crate) fn record_answer(
    node: &NodeHandle,
    call: &GateCall,
    target: &LocalTarget,
    map: &HeaderMap,
    sent_at: Instant,
) {
    let notice = read_notice(&node.edge_headers, map);
    let now = node.clock.now();
    let changed = {
        let mut tracker = lock(&target.limit);
        let before = tracker.limit();
        let has_changed = tracker.record_answer(notice.limit, sent_at, now);
        has_changed.then_some(before)
    };
    if let Some(before) = changed {
        let in_force = loggable_limit(lock(&target.limit).limit());
        log::info!(
            event = "target-limit",
            request:% = call.loggable_request_id(),
            service:% = call.service,
            target:% = target.address,
            limit = in_force,
            before = loggable_limit(before),
            request_age_ms = now.saturating_duration_since(sent_at).as_millis() as u64;
            "gate"
        );
    }
    if notice.is_leaving {
        log::info!(
            event = "target-leaving",
            request:% = call.loggable_request_id(),
            service:% = call.service,
            target:% = target.address;
            "gate"
        );
    }
}

fn loggable_limit(limit: Option<RequestRate>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}

/// Reads the statements in the headers of an answer. A limit that cannot be read is
/// logged and ignored.
fn read_notice(edge: &EdgeHeaders, map: &HeaderMap) -> AnswerNotice {
    let limit = headers::text(map, &edge.target_limit).and_then(|text| {
        let limit = text.parse::<RequestRate>();
        if limit.is_err() {
            log::warn!(event = "target-limit-unreadable", limit:% = Sanitized(text); "gate");
        }
        limit.ok()
    });
    let leaving = map.get(&edge.target_leaving);
    AnswerNotice {
        limit,
        is_leaving: leaving.is_some_and(|value| value.as_bytes() != b"0"),
    }
}
