//! Decides at the ingress whether a team has room for a call.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use tokio::time::timeout;
use wisteriaturn::clock::lock;
use wisteriaturn::config::resource::TeamSpec;
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::retry::deadline::CallDeadline;
use wisteriaturn::team::wallet::{ANSWER_TIMEOUT, WalletDecision};

use crate::logs::Sanitized;
use crate::node::NodeHandle;
use crate::team::{WalletEntry, keep};

/// Longest time for which a call waits for a keeper's answer: two lost questions. It must be
/// short, since the request is only read to its end afterwards: until then, this node doesn't
/// notice that a caller has left.
const MAX_WAIT: Duration = Duration::from_millis(350);

/// Time without an answer after which a question counts as lost for good.
const LOST_AFTER: Duration = Duration::from_millis(700);

/// Shortest and longest time after which callers of a team without room are told to come
/// back. Room comes all the time, and the calls that came back together would press
/// again.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(1_500));

/// A call that was refused for its team.
#[derive(Debug, Clone, Copy)]
pub struct TeamRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// A call that waits for a keeper's answer. Its caller may leave meanwhile, and then it must
/// not be asked for any longer.
struct WaitingCall {
    entry: Arc<WalletEntry>,
    is_waiting: bool,
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        if self.is_waiting {
            lock(&self.entry.wallet).leave();
        }
    }
}

/// A call that a team had room for.
#[derive(Debug)]
pub struct TeamPermit {
    entry: Arc<WalletEntry>,
    /// Until when the call may be made, or `None` if no keeper handed it out.
    valid_until: Option<Instant>,
}

impl TeamPermit {
    /// Gives the room back after a call that was not run.
    pub fn give_back(self) {
        if let Some(valid_until) = self.valid_until {
            lock(&self.entry.wallet).give_back(valid_until);
        }
    }
}

/// Takes room for one call of a team, waiting for the keeper's answer if need be. Returns
/// `None` if the team has no limit.
///
/// # Errors
///
/// Returns [`RefusalReason::OverAllowance`] if the team has no room, and
/// [`RefusalReason::AllowanceUnknown`] if no keeper answers.
pub async fn admit(
    node: &NodeHandle,
    team: &TeamSpec,
    request_id: &str,
    deadline: CallDeadline,
) -> Result<Option<TeamPermit>, TeamRefusal> {
    if team.limit().is_none() {
        return Ok(None);
    }
    let arrival = node.clock.now();
    let entry = node.teams.wallet(&team.name, arrival);
    let mut decision = lock(&entry.wallet).arrive(arrival);
    let mut waiting = WaitingCall {
        entry: Arc::clone(&entry),
        is_waiting: decision == WalletDecision::Wait,
    };
    // While answers are lost, waiting for one would most often be in vain.
    if decision == WalletDecision::Wait && try_take_alone(node, team, &entry, true) {
        waiting.is_waiting = false;
        return Ok(Some(TeamPermit {
            entry,
            valid_until: None,
        }));
    }
    while decision == WalletDecision::Wait {
        let answered = entry.answered.notified();
        keep::ask_if_due(node, team, &entry).await;
        decision = lock(&entry.wallet).retry(node.clock.now());
        if decision != WalletDecision::Wait {
            break;
        }
        let now = node.clock.now();
        let waited = now.saturating_duration_since(arrival);
        let left = MAX_WAIT.saturating_sub(waited).min(deadline.remaining(now));
        if left.is_zero() {
            break;
        }
        let _ = timeout(left.min(ANSWER_TIMEOUT), answered).await;
        decision = lock(&entry.wallet).retry(node.clock.now());
    }
    let now = node.clock.now();
    // The wallet has counted it out if it decided.
    waiting.is_waiting &= decision == WalletDecision::Wait;
    match decision {
        WalletDecision::Take(valid_until) => {
            keep::ask_if_due(node, team, &entry).await;
            node.metrics.record_team(&team.name, "taken");
            Ok(Some(TeamPermit {
                entry,
                valid_until: Some(valid_until),
            }))
        }
        WalletDecision::Refuse(room_in) => {
            let reason = RefusalReason::OverAllowance;
            Err(refuse(node, team, request_id, &entry, reason, room_in, now))
        }
        WalletDecision::Wait => {
            if try_take_alone(node, team, &entry, false) {
                waiting.is_waiting = false;
                return Ok(Some(TeamPermit {
                    entry,
                    valid_until: None,
                }));
            }
            let reason = RefusalReason::AllowanceUnknown;
            let room_in = Duration::ZERO;
            Err(refuse(node, team, request_id, &entry, reason, room_in, now))
        }
    }
}

/// Takes room from an even share for a call that waits, if no keeper answers. With
/// `only_if_lost`, that must have been so for a while.
fn try_take_alone(
    node: &NodeHandle,
    team: &TeamSpec,
    entry: &WalletEntry,
    only_if_lost: bool,
) -> bool {
    let now = node.clock.now();
    let mut wallet = lock(&entry.wallet);
    if only_if_lost && wallet.question_age(now) < LOST_AFTER {
        return false;
    }
    let is_heard = lock(&node.link_monitor).was_heard_within(LOST_AFTER, now);
    let members = node.live_member_count();
    let is_taken = wallet.try_take_alone(team.rate_per_s, members, !is_heard, now);
    if is_taken {
        wallet.leave();
        node.metrics.record_team(&team.name, "taken-alone");
    }
    is_taken
}

/// Logs and counts a refusal, and works out when the caller may come back.
fn refuse(
    node: &NodeHandle,
    team: &TeamSpec,
    request_id: &str,
    entry: &WalletEntry,
    reason: RefusalReason,
    room_in: Duration,
    now: Instant,
) -> TeamRefusal {
    node.metrics.record_team(&team.name, reason.name());
    let answer_age = lock(&entry.wallet).answer_age(now);
    log::info!(
        event = "team-refusal",
        request:% = Sanitized(request_id),
        team:% = team.name,
        reason = reason.name(),
        rate:% = team.rate_per_s,
        burst = team.burst,
        room_in_ms = room_in.as_millis() as u64,
        answer_age_ms = answer_age.as_millis() as u64;
        "team"
    );
    let (shortest, longest) = RETRY_AFTER_RANGE;
    let spread = rand::rng().random_range(0.0..1.0);
    let retry_after = shortest.max(room_in) + (longest - shortest).mul_f64(spread);
    TeamRefusal {
        reason,
        retry_after,
    }
}
