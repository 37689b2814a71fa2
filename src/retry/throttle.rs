//! Refuses calls to an overloaded service at the ingress, without an attempt.
//!
//! It is designed for an overload of a whole service by many ingresses. A call
//! that is refused by a gate costs a message each way and work on two VMs, which
//! at twice the capacity is more than the calls that run cost. So each ingress
//! compares how many calls of a route it made lately with how many were admitted,
//! and refuses the part by which the calls exceed the admitted ones by more than
//! a margin. The margin keeps some calls probing: as soon as gates admit more, so
//! does the ingress, within some seconds.
//!
//! The trade-off: an ingress learns from its own calls only, so while a service
//! recovers, some calls are refused although a slot would have been free. The
//! method is that of client-side throttling in Beyer et al., "Site Reliability
//! Engineering" (2016), chapter 21. Calls are counted by route, because gates
//! refuse the less urgent routes first.

use std::time::{Duration, Instant};

/// Calls that are attempted for each admitted one. It is also the factor by which
/// the calls grow within one and a half half-lives once a service has recovered.
const ATTEMPTS_PER_ADMITTED: f64 = 1.6;

/// Half-life of the counts. A service that admits a tenth of its calls and then
/// recovers is fully used again after about 3 s.
const COUNT_HALF_LIFE: Duration = Duration::from_millis(400);

/// Number of calls below which none is refused here: too few to tell an overload
/// from chance.
const MIN_CALLS: f64 = 5.0;

/// Recent calls of one route that have ended, and those that were admitted.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallThrottle {
    calls: f64,
    admitted: f64,
    updated_at: Option<Instant>,
}

impl CallThrottle {
    /// Decides whether to refuse a call without an attempt. `point` is a random number
    /// from 0 to 1.
    ///
    /// A call that is refused counts with [`Self::record_refusal`], any other when it
    /// ends. If it counted before, calls in flight would look like refused ones.
    pub fn should_refuse(&mut self, point: f64, now: Instant) -> bool {
        self.decay(now);
        self.is_overloaded() && point < self.excess() / (self.calls + 1.0)
    }

    /// Counts a call that was refused without an attempt.
    pub fn record_refusal(&mut self, now: Instant) {
        self.record_end(false, now);
    }

    /// Returns `true` if the service admits so few calls that some are refused here.
    pub fn is_overloaded(&self) -> bool {
        self.calls >= MIN_CALLS && self.excess() > 0.0
    }

    /// Returns the number of recent calls beyond those that are attempted.
    fn excess(&self) -> f64 {
        self.calls - self.admitted * ATTEMPTS_PER_ADMITTED
    }

    /// Counts an attempted call that has ended. It was admitted if a gate admitted it
    /// or if it ended for another reason than a full service.
    pub fn record_end(&mut self, is_admitted: bool, now: Instant) {
        self.decay(now);
        self.calls += 1.0;
        if is_admitted {
            self.admitted += 1.0;
        }
    }

    /// Returns the number of recent calls, each weighted by its age.
    pub fn calls(&self) -> f64 {
        self.calls
    }

    /// Returns the number of recent admitted calls, each weighted by its age.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    fn decay(&mut self, now: Instant) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let age = now.saturating_duration_since(updated_at).as_secs_f64();
        let factor = 0.5_f64.powf(age / COUNT_HALF_LIFE.as_secs_f64());
        self.calls *= factor;
        self.admitted *= factor;
    }
}
