//! What a node knows of the source of documents and of those who read it.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use wisteriaturn::clock::lock;
use wisteriaturn::ids::{ConfigVersion, Offset};
use wisteriaturn::member::pull::PullLease;

/// Time after which a version that peers hold is overdue: a pause between two
/// reads and a read.
const OVERDUE_TIME: Duration = Duration::from_millis(900);

/// Where a node stands in its source; each part has a lock of its own.
#[derive(Debug)]
pub struct SourceState {
    /// Newest version that the source named, once it was read.
    pub newest_version: watch::Sender<Option<ConfigVersion>>,
    /// Whether this node reads the source at the moment.
    pub is_reading: AtomicBool,
    /// When the source last answered this node.
    pub answered_at: Mutex<Option<Instant>>,
    /// When the member that reads the source for this node last said so.
    pub reader_heard_at: Mutex<Option<Instant>>,
    /// How far the source was read, by this node or its reader: the version that
    /// was in force then, and where reading goes on.
    pub read_position: Mutex<Option<(ConfigVersion, Offset)>>,
    /// The pull of the configuration that is under way.
    pub pull_lease: Mutex<PullLease>,
    awaited: Mutex<Option<(ConfigVersion, Instant)>>,
}

impl SourceState {
    /// Returns the standing of a node that has read nothing.
    pub fn new() -> Self {
        Self {
            newest_version: watch::Sender::new(None),
            is_reading: AtomicBool::new(false),
            answered_at: Mutex::default(),
            reader_heard_at: Mutex::default(),
            read_position: Mutex::default(),
            pull_lease: Mutex::default(),
            awaited: Mutex::default(),
        }
    }

    /// Notes that a peer holds a version, of a node that holds `held`.
    pub fn record_missing_version(
        &self,
        version: ConfigVersion,
        held: ConfigVersion,
        now: Instant,
    ) {
        let mut awaited = lock(&self.awaited);
        if awaited.is_none_or(|(first, _)| first <= held) {
            *awaited = Some((version, now));
        }
    }

    /// Tells whether this node, which holds `held`, has heard of a version for
    /// longer than getting it takes.
    pub fn is_overdue(&self, held: ConfigVersion, now: Instant) -> bool {
        lock(&self.awaited).is_some_and(|(first, since)| {
            first > held && now.saturating_duration_since(since) >= OVERDUE_TIME
        })
    }
}

impl Default for SourceState {
    fn default() -> Self {
        Self::new()
    }
}
