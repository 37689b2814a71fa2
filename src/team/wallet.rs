//! The calls of a team that one node may make, and when it asks for more.
//!
//! It is designed for teams of very unlike size: of a large one, each node makes several
//! calls a second and asks ahead; of a small one, a node makes a call now and then and asks
//! when it comes. A call waits for one answer at most. Once the keeper has said that there
//! is no room, calls are refused at once and without a message until there may be.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids::RequestRate;
use crate::team::keeper::AllowanceGrant;

/// Time for which a node asks ahead.
const AHEAD: Duration = Duration::from_millis(300);

/// Part of what is asked ahead that may be left when more is asked for.
const REORDER_SHARE: f64 = 0.4;

/// Fewest calls for which a node asks ahead.
const MIN_AHEAD: f64 = 2.0;

/// Most calls to ask for at once.
const MAX_WANTED: u16 = 200;

/// Time after which a question counts as lost.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(110);

/// Times that a question is repeated although no call waits for its answer any more.
const MAX_REPEATS: u32 = 10;

/// Time over which the calls of a team are averaged.
const DEMAND_TIME: f64 = 1.0;

/// Shortest time for which calls are refused after the keeper had none.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(60);

/// Part of an even share that a node uses while it is cut off.
const CUT_OFF_SHARE: f64 = 0.25;

/// What to do with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WalletDecision {
    /// The call may be made until this time.
    Take(Instant),
    /// The call waits for the keeper's answer.
    Wait,
    /// The team has no room left; it may have some after this time.
    Refuse(Duration),
}

/// A question to the keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WalletQuestion {
    /// Number of the question; a repeated one has the same.
    pub number: u64,
    /// Calls that the node wants to make.
    pub wanted: u16,
    /// How often the question was asked before.
    pub repeats: u32,
}

#[derive(Debug, Clone, Copy)]
struct OpenQuestion {
    question: WalletQuestion,
    asked_at: Instant,
    first_asked_at: Instant,
}

/// The calls of one team that a node may make.
#[derive(Debug, Clone)]
pub struct TeamWallet {
    /// Calls and the end of their validity.
    calls: VecDeque<(u16, Instant)>,
    open: Option<OpenQuestion>,
    next_number: u64,
    no_room_until: Option<Instant>,
    waiting: u16,
    /// Calls a second, averaged.
    demand: f64,
    demand_at: Instant,
    /// Time for which the calls that were last handed out were valid.
    validity: Duration,
    /// When a keeper last answered, and what an even share has added since.
    answered_at: Instant,
    alone_tokens: f64,
    alone_at: Instant,
}

impl TeamWallet {
    /// Returns an empty wallet. Numbers of questions begin at `first_number`, which a
    /// restarted node chooses higher than those it had before.
    pub fn new(first_number: u64, now: Instant) -> Self {
        Self {
            calls: VecDeque::new(),
            open: None,
            next_number: first_number,
            no_room_until: None,
            waiting: 0,
            demand: 0.0,
            demand_at: now,
            validity: AHEAD,
            answered_at: now,
            alone_tokens: 0.0,
            alone_at: now,
        }
    }

    /// Counts a call that arrives and decides what to do with it.
    pub fn arrive(&mut self, now: Instant) -> WalletDecision {
        self.record_demand(now);
        if let Some(valid_until) = self.try_take(now) {
            return WalletDecision::Take(valid_until);
        }
        if let Some(until) = self.no_room_until.filter(|until| now < *until) {
            return WalletDecision::Refuse(until - now);
        }
        self.waiting = self.waiting.saturating_add(1);
        WalletDecision::Wait
    }

    /// Decides again what to do with a call that waits, after an answer or in vain.
    pub fn retry(&mut self, now: Instant) -> WalletDecision {
        if let Some(valid_until) = self.try_take(now) {
            self.waiting = self.waiting.saturating_sub(1);
            return WalletDecision::Take(valid_until);
        }
        if let Some(until) = self.no_room_until.filter(|until| now < *until) {
            self.waiting = self.waiting.saturating_sub(1);
            return WalletDecision::Refuse(until - now);
        }
        WalletDecision::Wait
    }

    /// Takes back a call that waits no longer.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Gives back a call that was not made, which is valid for as long as it was when it was
    /// taken.
    pub fn give_back(&mut self, valid_until: Instant) {
        self.calls.push_front((1, valid_until));
    }

    /// Takes a call from an even share of the rate among `members` nodes, which stands in
    /// while no keeper answers.
    /// `is_cut_off` says that the node hears nobody: many may be cut off at once, and the
    /// keeper then hands out everything to those that it does answer. Otherwise it is the
    /// node's own link that loses messages, as a link does that is full.
    pub fn try_take_alone(
        &mut self,
        rate: RequestRate,
        members: usize,
        is_cut_off: bool,
        now: Instant,
    ) -> bool {
        let share = if is_cut_off { CUT_OFF_SHARE } else { 1.0 };
        let per_second = rate.per_second() * share / members.max(1) as f64;
        let since = self.alone_at.max(self.answered_at);
        let age = now.saturating_duration_since(since).as_secs_f64();
        self.alone_tokens = (self.alone_tokens + per_second * age).min(per_second.max(1.0));
        self.alone_at = now;
        let has_token = self.alone_tokens >= 1.0;
        if has_token {
            self.alone_tokens -= 1.0;
        }
        has_token
    }

    /// Returns the question to ask now, if there is one: a new one, or the last one again
    /// because its answer is overdue.
    pub fn question(&mut self, now: Instant) -> Option<WalletQuestion> {
        if let Some(open) = &mut self.open {
            let age = now.saturating_duration_since(open.asked_at);
            if age < ANSWER_TIMEOUT {
                return None;
            }
            if self.waiting == 0 && open.question.repeats >= MAX_REPEATS {
                self.open = None;
                return None;
            }
            open.asked_at = now;
            open.question.repeats += 1;
            return Some(open.question);
        }
        if self.no_room_until.is_some_and(|until| now < until) {
            return None;
        }
        let held = self.held(now);
        let ahead = self.demand_at(now) * AHEAD.min(self.validity / 2).as_secs_f64();
        // Calls that lapse before they are made are lost to the team, so a node that makes
        // one now and then does not ask ahead.
        let ahead = if ahead >= MIN_AHEAD { ahead } else { 0.0 };
        let is_low = f64::from(held) < ahead * REORDER_SHARE;
        if self.waiting == 0 && !is_low {
            return None;
        }
        let wanted = (ahead.floor() as u16)
            .saturating_add(self.waiting)
            .saturating_sub(held)
            .clamp(1, MAX_WANTED);
        let question = WalletQuestion {
            number: self.next_number,
            wanted,
            repeats: 0,
        };
        self.next_number += 1;
        self.open = Some(OpenQuestion {
            question,
            asked_at: now,
            first_asked_at: now,
        });
        Some(question)
    }

    /// Takes the keeper's answer. Returns `false` if it does not answer the open question.
    pub fn answer(&mut self, number: u64, grant: AllowanceGrant, now: Instant) -> bool {
        let Some(open) = self.open.filter(|open| open.question.number == number) else {
            return false;
        };
        self.open = None;
        self.answered_at = now;
        self.alone_tokens = 0.0;
        // The validity began when the keeper sent its answer, after the question was sent.
        let valid_until = open.asked_at + Duration::from_millis(grant.validity_ms.into());
        if grant.calls > 0 {
            self.validity = Duration::from_millis(grant.validity_ms.into());
            self.calls.push_back((grant.calls, valid_until));
            self.no_room_until = None;
        } else {
            let room_in = Duration::from_millis(grant.room_in_ms.into());
            self.no_room_until = Some(now + room_in.max(MIN_REFUSAL_TIME));
        }
        true
    }

    /// Returns the calls that may be made now.
    pub fn held(&mut self, now: Instant) -> u16 {
        self.drop_invalid(now);
        self.calls
            .iter()
            .fold(0, |sum: u16, (calls, _)| sum.saturating_add(*calls))
    }

    /// Returns the calls that wait for a keeper's answer.
    pub fn waiting(&self) -> u16 {
        self.waiting
    }

    /// Returns until when calls are refused because the team has no room.
    pub fn no_room_until(&self) -> Option<Instant> {
        self.no_room_until
    }

    /// Returns the time since a keeper last answered.
    pub fn answer_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.answered_at)
    }

    /// Returns the time for which the open question has had no answer.
    pub fn question_age(&self, now: Instant) -> Duration {
        let since = self.open.map(|open| open.first_asked_at);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns `true` if nothing is kept that a new wallet would lack.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.held(now) == 0
            && self.waiting == 0
            && self.open.is_none()
            && self.demand_at(now) < 0.01
    }

    /// Takes a call, and returns until when it may be made.
    fn try_take(&mut self, now: Instant) -> Option<Instant> {
        self.drop_invalid(now);
        let (calls, valid_until) = self.calls.front_mut()?;
        let valid_until = *valid_until;
        *calls -= 1;
        if *calls == 0 {
            self.calls.pop_front();
        }
        Some(valid_until)
    }

    fn drop_invalid(&mut self, now: Instant) {
        self.calls.retain(|(_, valid_until)| now < *valid_until);
    }

    fn demand_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand * (-age / DEMAND_TIME).exp()
    }

    fn record_demand(&mut self, now: Instant) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_TIME;
        self.demand_at = now;
    }
}
