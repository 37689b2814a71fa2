//! Counts broken invariants, and ends the process on one in strict mode.
//!
//! The promises of the system are asserted where the fact is known. A plain
//! `assert!` would take a whole node down for its callers; a log line alone
//! would be overlooked. So a violation is counted for the operators' alarms,
//! and tests run with strict mode on. See [docs/PROOFS.md](../docs/PROOFS.md).

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The promises that the program checks on itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum Invariant {
    /// A node's configuration version never falls.
    VersionRises,
    /// A view holds every service and target that it names.
    ViewComplete,
    /// Nodes at the same version hold the same configuration.
    SameFold,
    /// A gate starts no call that it promised not to run.
    NotRunStays,
    /// A call that is not idempotent is sent to a target at most once.
    SentOnce,
    /// A gate that leaves admits nothing.
    DrainedGate,
}

/// Every rule, in the order of its counter.
pub const INVARIANTS: [Invariant; 6] = [
    Invariant::VersionRises,
    Invariant::ViewComplete,
    Invariant::SameFold,
    Invariant::NotRunStays,
    Invariant::SentOnce,
    Invariant::DrainedGate,
];

static COUNTS: [AtomicU64; INVARIANTS.len()] = [const { AtomicU64::new(0) }; INVARIANTS.len()];
static STRICT: AtomicBool = AtomicBool::new(false);

impl Invariant {
    /// Returns the name under which violations are counted.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::VersionRises => "version_rises",
            Invariant::ViewComplete => "view_complete",
            Invariant::SameFold => "same_fold",
            Invariant::NotRunStays => "not_run_stays",
            Invariant::SentOnce => "sent_once",
            Invariant::DrainedGate => "drained_gate",
        }
    }
}

/// Makes every later violation end the process.
pub fn set_strict(strict: bool) {
    STRICT.store(strict, Ordering::Relaxed);
}

/// Counts a violation of `rule` unless `holds`, and returns `holds`.
pub fn check(rule: Invariant, holds: bool) -> bool {
    if !holds {
        COUNTS[rule as usize].fetch_add(1, Ordering::Relaxed);
        if STRICT.load(Ordering::Relaxed) {
            eprintln!(
                "level=ERROR message=\"invariant violated\" rule={}",
                rule.name()
            );
            std::process::abort();
        }
    }
    holds
}

/// Returns how often `rule` was violated.
pub fn violations(rule: Invariant) -> u64 {
    COUNTS[rule as usize].load(Ordering::Relaxed)
}
