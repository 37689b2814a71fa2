//! The keeper of a team's allowance: how many calls it lets the nodes make.
//!
//! It is designed for a team that sends several times its usual through all nodes at once,
//! and for keepers that die, are cut off or are followed by another one. All nodes together
//! may make `rate x window + burst` calls in any window, and a little more. The keeper hands
//! out calls in small numbers that are valid for a short time, and remembers what it handed
//! out in a window. So a message that is lost or doubled, or a node that is cut off, can only
//! leave calls unused.
//!
//! A keeper that follows another one can't know what that one has handed out. It starts
//! with an empty bucket, and as long as both may be asked it hands out a part of the rate
//! only. What both together hand out is within the operator's margin; see
//! [docs/design/teams.md](../../docs/design/teams.md).

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::{NodeAddress, RequestRate};
use crate::invariant::{Invariant, check};

/// Part of what the operator's margin allows in a window that is handed out. The rest is for
/// keepers that follow each other, and for nodes that reach none.
const USED_SHARE: f64 = 0.95;

/// Part of the operator's slack that a team may save up beside its burst. Without it, a team
/// that makes two calls a second would be refused because three came at once, though it is
/// far below what a window allows.
const SAVED_SLACK_SHARE: f64 = 0.5;

/// Time for which calls that were handed out are valid: some round trips between regions.
/// They may be made that much later than they were handed out, so a window and this time
/// together get what one window allows.
pub const VALIDITY: Duration = Duration::from_millis(250);

/// Part of the rate that a keeper hands out while its predecessor may still be asked.
const OVERLAP_SHARE: f64 = 0.2;

/// Time for which a predecessor may still be asked: by then all nodes have heard of the
/// change.
pub const OVERLAP_TIME: Duration = Duration::from_millis(1_500);

/// Time for which nothing is handed out when all nodes are started again, at least.
const START_TIME: Duration = Duration::from_millis(800);

/// Part of the tokens that one node gets at once, so that others get some too.
const MAX_GRANT_SHARE: f64 = 0.125;

/// Time for which an answer is remembered, in case the question is repeated.
const ANSWER_MEMORY: Duration = Duration::from_secs(2);

/// Longest time for which a node is told that there is no room, in milliseconds. Others may
/// stop asking meanwhile.
const MAX_ROOM_IN_MS: f64 = 400.0;

/// Resolution at which calls that were handed out are remembered.
const LOG_STEP: Duration = Duration::from_millis(50);

/// Lowest rate for which waits are worked out.
const MIN_RATE: f64 = 0.01;

/// What a team may ask of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowanceLimit {
    /// Calls per second.
    pub rate: RequestRate,
    /// Calls beyond the rate that may come at once.
    pub burst: u32,
}

/// The operator's margin: how far all nodes together may exceed a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllowanceMargin {
    /// Length of the windows in which calls are counted.
    pub window: Duration,
    /// Part of the limit by which it may be exceeded.
    pub overage: f64,
    /// Calls by which it may be exceeded besides.
    pub slack: f64,
}

impl AllowanceLimit {
    /// Returns the calls that are handed out in a window and the validity after it, so that
    /// no window has more calls that are made.
    fn per_window(self, margin: AllowanceMargin) -> f64 {
        let rate = self.rate.per_second();
        let limit = rate * margin.window.as_secs_f64() + f64::from(self.burst);
        (limit * (1.0 + margin.overage) + margin.slack) * USED_SHARE
    }

    /// Returns the most calls that can be handed out at once.
    fn capacity(self, margin: AllowanceMargin) -> f64 {
        (f64::from(self.burst) + margin.slack * SAVED_SLACK_SHARE).max(1.0)
    }
}

impl AllowanceMargin {
    /// Returns the time after which calls that were handed out count in no window any more.
    fn memory(self) -> Duration {
        self.window + VALIDITY + LOG_STEP
    }
}

record! {
    /// A keeper's answer.
    #[derive(Copy)]
    pub struct AllowanceGrant {
        /// Number of calls that the node may make.
        pub calls: u16,
        /// Time for which they are valid, in milliseconds.
        pub validity_ms: u32,
        /// Time after which there may be more, in milliseconds.
        pub room_in_ms: u32,
    }
}

/// The bucket of one team at its keeper.
///
/// A keeper that may have had a predecessor hands out the team's rate. Once it has kept the
/// allowance for a window, it knows all that was handed out, and uses the operator's margin
/// as well: what is refused within it is lost to the team's callers.
#[derive(Debug, Clone)]
pub struct KeeperBucket {
    limit: AllowanceLimit,
    margin: AllowanceMargin,
    tokens: f64,
    updated_at: Instant,
    /// Until when a predecessor may still be asked.
    overlap_until: Instant,
    /// From when on this keeper knows all that was handed out in a window.
    knows_all_from: Instant,
    /// What was handed out in the last window, the oldest first.
    log: VecDeque<(Instant, f64)>,
    /// The last answer to each node, by the number of its question.
    answers: BTreeMap<NodeAddress, (u64, AllowanceGrant, Instant)>,
}

impl KeeperBucket {
    /// Returns the empty bucket of a keeper that follows another one, which may still be
    /// asked if `may_overlap`.
    pub fn new(
        limit: AllowanceLimit,
        margin: AllowanceMargin,
        may_overlap: bool,
        now: Instant,
    ) -> Self {
        Self {
            limit,
            margin,
            tokens: 0.0,
            updated_at: now,
            overlap_until: if may_overlap { now + OVERLAP_TIME } else { now },
            knows_all_from: now + OVERLAP_TIME + margin.memory(),
            log: VecDeque::new(),
            answers: BTreeMap::new(),
        }
    }

    /// Returns the bucket of a keeper that was started together with all others: nobody has
    /// handed out anything for as long as a start takes.
    pub fn started(limit: AllowanceLimit, margin: AllowanceMargin, now: Instant) -> Self {
        Self::filled(limit, margin, START_TIME, now)
    }

    /// Returns the bucket of a keeper that could have handed out calls for `idle` without
    /// being asked.
    pub fn filled(
        limit: AllowanceLimit,
        margin: AllowanceMargin,
        idle: Duration,
        now: Instant,
    ) -> Self {
        let mut bucket = Self::new(limit, margin, false, now);
        let tokens = limit.rate.per_second() * idle.as_secs_f64();
        bucket.tokens = tokens.min(limit.capacity(margin));
        bucket.knows_all_from = now + margin.memory().saturating_sub(idle);
        bucket
    }

    /// Returns the limit.
    pub fn limit(&self) -> AllowanceLimit {
        self.limit
    }

    /// Returns the calls that could be handed out now.
    pub fn tokens(&self, now: Instant) -> f64 {
        let rates = [
            (self.updated_at, self.overlap_until, OVERLAP_SHARE),
            (self.overlap_until, self.knows_all_from, 1.0),
        ];
        let rate = self.limit.rate.per_second();
        let mut added = 0.0;
        for (from, until, share) in rates {
            let from = from.max(self.updated_at);
            let time = until.min(now).saturating_duration_since(from);
            added += rate * share * time.as_secs_f64();
        }
        let from = self.knows_all_from.max(self.updated_at);
        let time = now.saturating_duration_since(from);
        added += self.full_rate() * time.as_secs_f64();
        let tokens = (self.tokens + added).min(self.limit.capacity(self.margin));
        tokens.min(self.limit.per_window(self.margin) - self.handed_out(now))
    }

    /// Returns the rate of a keeper that knows all that was handed out.
    fn full_rate(&self) -> f64 {
        let per_window = self.limit.per_window(self.margin);
        let rate = per_window / self.margin.memory().as_secs_f64();
        rate.max(self.limit.rate.per_second())
    }

    /// Returns what was handed out in the last window and may still be made in it.
    fn handed_out(&self, now: Instant) -> f64 {
        let memory = self.margin.memory();
        let recent = self
            .log
            .iter()
            .filter(|(at, _)| now.saturating_duration_since(*at) < memory);
        recent.map(|(_, calls)| calls).sum()
    }

    /// Changes the limit from `now` on. Less than what was saved up may then be left.
    pub fn set_limit(&mut self, limit: AllowanceLimit, now: Instant) {
        if self.limit != limit {
            self.refill(now);
            self.limit = limit;
        }
    }

    /// Answers a node that wants `wanted` calls. A question that is repeated under its
    /// number gets the same answer and no calls twice.
    pub fn grant(
        &mut self,
        asker: NodeAddress,
        number: u64,
        wanted: u16,
        now: Instant,
    ) -> AllowanceGrant {
        self.answers
            .retain(|_, (_, _, at)| now.saturating_duration_since(*at) < ANSWER_MEMORY);
        if let Some((known, answer, at)) = self.answers.get(&asker) {
            if *known == number {
                // What was handed out is no longer valid for as long as it was then.
                let age = now.saturating_duration_since(*at).as_millis() as u32;
                let validity_ms = answer.validity_ms.saturating_sub(age);
                let calls = if validity_ms == 0 { 0 } else { answer.calls };
                return AllowanceGrant {
                    calls,
                    validity_ms,
                    ..*answer
                };
            }
            if *known > number {
                return self.answer(0, now);
            }
        }
        self.refill(now);
        let most = (self.tokens * MAX_GRANT_SHARE).max(1.0);
        let calls = f64::from(wanted)
            .min(most)
            .min(self.tokens)
            .floor()
            .max(0.0);
        if calls > 0.0 {
            self.tokens -= calls;
            self.record(calls, now);
        }
        check(
            Invariant::AllowanceBounded,
            calls == 0.0 || self.handed_out(now) <= self.limit.per_window(self.margin) + 1e-6,
        );
        let answer = self.answer(calls as u16, now);
        self.answers.insert(asker, (number, answer, now));
        answer
    }

    fn answer(&self, calls: u16, now: Instant) -> AllowanceGrant {
        // Each node that asks gets a call in turn; asking sooner would be in vain.
        let missing = (self.answers.len() as f64 - self.tokens(now)).max(0.0);
        let rate = self.limit.rate.per_second().max(MIN_RATE);
        AllowanceGrant {
            calls,
            validity_ms: VALIDITY.as_millis() as u32,
            room_in_ms: (missing / rate * 1_000.0).min(MAX_ROOM_IN_MS) as u32,
        }
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens(now).max(0.0);
        self.updated_at = now.max(self.updated_at);
        let memory = self.margin.memory();
        while let Some((at, _)) = self.log.front()
            && now.saturating_duration_since(*at) >= memory
        {
            self.log.pop_front();
        }
    }

    fn record(&mut self, calls: f64, now: Instant) {
        match self.log.back_mut() {
            Some((at, sum)) if now.saturating_duration_since(*at) < LOG_STEP => *sum += calls,
            Some(_) | None => self.log.push_back((now, calls)),
        }
    }
}
