//! The keeper of a team's allowance: how many calls it lets the nodes make.
//!
//! It is designed for a team that sends several times its usual through all nodes at once,
//! and for keepers that die, are cut off or are followed by another one. All nodes together
//! may make `rate x window + burst` calls in any window, and a little more. The keeper hands
//! out calls in small numbers that are valid for a short time; what it hands out is bounded by
//! a token bucket, so a message that is lost or doubled, or a node that is cut off, can only
//! leave calls unused.
//!
//! A keeper that follows another one can't know what that one has handed out. It starts
//! with an empty bucket, and as long as both may be asked it hands out a part of the rate
//! only. What both may exceed the allowance by is less than the operator's margin; see
//! [docs/design/teams.md](../../docs/design/teams.md).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{NodeAddress, RequestRate};
use crate::invariant::{Invariant, check};

/// Part of the margin that calls may use up by being made later than they were handed out.
/// The rest is for keepers that follow each other.
const LATE_USE_SHARE: f64 = 0.4;

/// Part of the operator's slack that a team may save up beside its burst. Without it, a team
/// that makes two calls a second would be refused because three came at once, though it is
/// far below what a window allows.
const SAVED_SLACK_SHARE: f64 = 0.5;

/// Shortest and longest validity of calls that were handed out.
const VALIDITY_RANGE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(2));

/// Part of the rate that a keeper hands out while its predecessor may still be asked.
const OVERLAP_SHARE: f64 = 0.3;

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
    /// Returns the calls of one window.
    fn per_window(self, margin: AllowanceMargin) -> f64 {
        self.rate.per_second() * margin.window.as_secs_f64() + f64::from(self.burst)
    }

    /// Returns the most calls that can be handed out at once.
    fn capacity(self, margin: AllowanceMargin) -> f64 {
        (f64::from(self.burst) + margin.slack * SAVED_SLACK_SHARE).max(1.0)
    }

    /// Returns the time for which calls that were handed out are valid. A call that is made
    /// that much later counts in a window in which it was not handed out.
    pub fn validity(self, margin: AllowanceMargin) -> Duration {
        let excess = self.per_window(margin) * margin.overage + margin.slack;
        let rate = self.rate.per_second().max(MIN_RATE);
        let seconds = (excess * LATE_USE_SHARE / rate).min(VALIDITY_RANGE.1.as_secs_f64());
        Duration::from_secs_f64(seconds).max(VALIDITY_RANGE.0)
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
#[derive(Debug, Clone)]
pub struct KeeperBucket {
    limit: AllowanceLimit,
    margin: AllowanceMargin,
    tokens: f64,
    updated_at: Instant,
    /// Until when a predecessor may still be asked.
    overlap_until: Instant,
    /// The last answer to each node, by the number of its question.
    answers: BTreeMap<NodeAddress, (u64, AllowanceGrant, Instant)>,
    /// For the invariant: when the bucket was created, and what it has handed out.
    created_at: Instant,
    granted: f64,
    /// The most that could have been added since, whatever the limit was at the time.
    most_added: f64,
}

impl KeeperBucket {
    /// Returns the empty bucket of a keeper that follows another one, or of one that can't
    /// have a predecessor that is still asked.
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
            answers: BTreeMap::new(),
            created_at: now,
            granted: 0.0,
            most_added: 0.0,
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
        bucket.most_added = bucket.tokens;
        bucket
    }

    /// Returns the limit.
    pub fn limit(&self) -> AllowanceLimit {
        self.limit
    }

    /// Returns the calls that could be handed out now.
    pub fn tokens(&self, now: Instant) -> f64 {
        let added = self.added_until(now);
        (self.tokens + added).min(self.limit.capacity(self.margin))
    }

    /// Changes the limit from `now` on. Less than what was saved up may then be left.
    pub fn set_limit(&mut self, limit: AllowanceLimit, now: Instant) {
        if self.limit != limit {
            self.refill(now);
            self.limit = limit;
            self.tokens = self.tokens.min(limit.capacity(self.margin));
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
        self.tokens -= calls;
        self.granted += calls;
        check(
            Invariant::AllowanceBounded,
            self.granted <= self.most_added + 1e-6,
        );
        let answer = self.answer(calls as u16, now);
        self.answers.insert(asker, (number, answer, now));
        answer
    }

    fn answer(&self, calls: u16, now: Instant) -> AllowanceGrant {
        let rate = self.rate_at(now).max(MIN_RATE);
        // Each node that asks gets a call in turn; asking sooner would be in vain.
        let missing = (self.answers.len() as f64 - self.tokens).max(0.0);
        AllowanceGrant {
            calls,
            validity_ms: self.limit.validity(self.margin).as_millis() as u32,
            room_in_ms: (missing / rate * 1_000.0).min(MAX_ROOM_IN_MS) as u32,
        }
    }

    fn rate_at(&self, now: Instant) -> f64 {
        let rate = self.limit.rate.per_second();
        if now < self.overlap_until {
            rate * OVERLAP_SHARE
        } else {
            rate
        }
    }

    /// Returns the tokens that were added since the last refill, at the rates in force.
    fn added_until(&self, now: Instant) -> f64 {
        let rate = self.limit.rate.per_second();
        let overlap = self
            .overlap_until
            .min(now)
            .saturating_duration_since(self.updated_at);
        let all = now.saturating_duration_since(self.updated_at);
        let after = all.saturating_sub(overlap);
        rate * (overlap.as_secs_f64() * OVERLAP_SHARE + after.as_secs_f64())
    }

    fn refill(&mut self, now: Instant) {
        self.most_added += self.added_until(now);
        self.tokens = self.tokens(now);
        self.updated_at = now.max(self.updated_at);
    }

    /// Returns the time for which this bucket has been kept.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.created_at)
    }
}
