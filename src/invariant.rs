//! Runtime checks of invariants: violations are counted and, in strict mode,
//! abort the process.
//!
//! Each invariant is checked by the code that has to maintain it. A plain
//! `assert!` would abort a whole node and all its calls; a log line alone would
//! be overlooked. So violations are counted in a metric that operators can alert
//! on, and tests run in strict mode. See [docs/PROOFS.md](../docs/PROOFS.md).

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// An invariant that is checked at run time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum Invariant {
    /// A node's configuration version never decreases.
    VersionRises,
    /// A view contains every service that it refers to, and a list of targets
    /// for each of its services.
    ViewComplete,
    /// Nodes at the same version hold the same configuration.
    SameFold,
    /// A gate never starts a call that it has reported as not run.
    NotRunStays,
    /// A call that is not idempotent is sent to a target at most once.
    SentOnce,
    /// A draining gate admits no calls.
    DrainedGate,
    /// A node sends a version on trial no more than its share of the calls.
    TrialBounded,
    /// A keeper grants a team no more than its allowance.
    AllowanceBounded,
}

/// All invariants, in the order in which they are declared and counted.
pub const INVARIANTS: [Invariant; 8] = [
    Invariant::VersionRises,
    Invariant::ViewComplete,
    Invariant::SameFold,
    Invariant::NotRunStays,
    Invariant::SentOnce,
    Invariant::DrainedGate,
    Invariant::TrialBounded,
    Invariant::AllowanceBounded,
];

static VIOLATION_COUNTS: [AtomicU64; INVARIANTS.len()] =
    [const { AtomicU64::new(0) }; INVARIANTS.len()];
static IS_STRICT: AtomicBool = AtomicBool::new(false);

impl Invariant {
    /// Returns the name under which violations are counted in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::VersionRises => "version_rises",
            Invariant::ViewComplete => "view_complete",
            Invariant::SameFold => "same_fold",
            Invariant::NotRunStays => "not_run_stays",
            Invariant::SentOnce => "sent_once",
            Invariant::DrainedGate => "drained_gate",
            Invariant::TrialBounded => "trial_bounded",
            Invariant::AllowanceBounded => "allowance_bounded",
        }
    }
}

/// Sets whether a violation aborts the process.
pub fn set_strict(strict: bool) {
    IS_STRICT.store(strict, Ordering::Relaxed);
}

/// Counts a violation of `invariant` unless `holds` is `true`, and returns
/// `holds`.
pub fn check(invariant: Invariant, holds: bool) -> bool {
    if !holds {
        VIOLATION_COUNTS[invariant as usize].fetch_add(1, Ordering::Relaxed);
        if IS_STRICT.load(Ordering::Relaxed) {
            eprintln!(
                "level=ERROR message=\"invariant violated\" rule={}",
                invariant.name()
            );
            std::process::abort();
        }
    }
    holds
}

/// Returns how often `invariant` has been violated.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATION_COUNTS[invariant as usize].load(Ordering::Relaxed)
}
