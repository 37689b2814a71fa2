//! Acts on what targets state about themselves in their answers.
//!
//! A gate learns it from the answers that it receives. After a restart it has none, so
//! other nodes send along with their calls what the target stated through this gate before.

use std::time::Instant;

use hyper::HeaderMap;
use wisteriaturn::clock::lock;
use wisteriaturn::gate::notice::{AnswerNotice, TargetNotice};
use wisteriaturn::ids::{Incarnation, InstanceId, RequestRate};

use crate::gate::targets::{self, LocalTarget};
use crate::http::headers::{self, EdgeHeaders};
use crate::logs::Sanitized;
use crate::mesh::hop::GateCall;
use crate::node::NodeHandle;

/// Who reported a statement of a target.
#[derive(Debug, Clone, Copy)]
enum NoticeSource {
    /// The target itself, in an answer.
    Answer,
    /// Another node, which remembers it.
    Peer,
}

impl NoticeSource {
    fn name(self) -> &'static str {
        match self {
            NoticeSource::Answer => "answer",
            NoticeSource::Peer => "peer",
        }
    }
}

/// Records what the target states in an answer to `call`, whose request was sent at
/// `sent_at`.
pub(crate) fn record_answer(
    node: &NodeHandle,
    call: &GateCall,
    target: &LocalTarget,
    map: &HeaderMap,
    sent_at: Instant,
) {
    let stated = read_statements(&node.edge_headers, map);
    let now = node.clock.now();
    let (has_changed, limit) = {
        let mut tracker = lock(&target.limit);
        let has_changed = tracker.record_answer(stated.limit, sent_at, now);
        (has_changed, tracker.limit())
    };
    if has_changed {
        apply_limit(call, target, limit, NoticeSource::Answer);
    }
    if stated.is_leaving {
        targets::start_draining(target);
        if let Some(instance) = &target.instance {
            let (incarnation, source) = (target.incarnation, NoticeSource::Answer);
            record_leaving(node, call, instance, incarnation, source);
        }
        targets::spawn_publish(node);
    }
}

/// Records what another node remembers of the target that `call` is for, if it is still
/// the target at this gate.
pub(crate) fn record_from_peer(node: &NodeHandle, call: &GateCall, notice: &TargetNotice) {
    let target = node.targets.get(&call.service).filter(|target| {
        target.instance.as_ref() == Some(&notice.instance)
            && target.incarnation == notice.incarnation
    });
    if let Some(target) = &target {
        if lock(&target.limit).adopt(notice.stated.limit, node.clock.now()) {
            apply_limit(call, target, notice.stated.limit, NoticeSource::Peer);
        }
        if notice.stated.is_leaving {
            targets::start_draining(target);
        }
    }
    if notice.stated.is_leaving {
        // The target may not have announced itself since this node was restarted.
        let (instance, incarnation) = (&notice.instance, notice.incarnation);
        record_leaving(node, call, instance, incarnation, NoticeSource::Peer);
        targets::spawn_publish(node);
    }
}

/// Returns what a target has stated that still holds, or `None` if there is nothing or
/// the target has no name by which other nodes could refer to it.
pub(crate) fn current_notice(node: &NodeHandle, target: &LocalTarget) -> Option<TargetNotice> {
    let instance = target.instance.as_ref()?;
    let stated = AnswerNotice {
        limit: lock(&target.limit).limit(),
        is_leaving: lock(&node.announcements).is_departing(instance, target.incarnation),
    };
    (stated != AnswerNotice::default()).then(|| TargetNotice {
        instance: instance.clone(),
        incarnation: target.incarnation,
        stated,
    })
}

fn apply_limit(
    call: &GateCall,
    target: &LocalTarget,
    limit: Option<RequestRate>,
    source: NoticeSource,
) {
    let before = target.gate.load().limit;
    target.gate.set_limit(limit);
    log::info!(
        event = "target-limit",
        request:% = call.loggable_request_id(),
        service:% = call.service,
        target:% = target.address,
        limit = loggable_limit(limit),
        before = loggable_limit(before),
        source = source.name();
        "gate"
    );
}

fn record_leaving(
    node: &NodeHandle,
    call: &GateCall,
    instance: &InstanceId,
    incarnation: Incarnation,
    source: NoticeSource,
) {
    if !lock(&node.announcements).record_leaving(instance, incarnation) {
        return;
    }
    log::info!(
        event = "target-leaving",
        request:% = call.loggable_request_id(),
        service:% = call.service,
        target:% = instance,
        source = source.name();
        "gate"
    );
}

/// Returns a limit in the form used in log lines.
pub(crate) fn loggable_limit(limit: Option<RequestRate>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}

/// Reads the statements in the headers of an answer. A limit that cannot be read is
/// logged and ignored.
fn read_statements(edge: &EdgeHeaders, map: &HeaderMap) -> AnswerNotice {
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
