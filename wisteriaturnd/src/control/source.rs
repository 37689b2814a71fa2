//! The progress of a node in reading the document source, directly or through
//! another member.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::sync::watch;
use wisteriaturn::clock::lock;
use wisteriaturn::config::document::SourcePosition;
use wisteriaturn::ids::{ConfigVersion, SourceEra};
use wisteriaturn::member::pull::PullLease;
use wisteriaturn::member::reader::ReaderContact;

/// Time after which a version that peers hold is overdue: the pause between two
/// reads plus a read.
const OVERDUE_TIMEOUT: Duration = Duration::from_millis(900);

/// A document that was refused as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RefusedDocument {
    /// Version of the document.
    pub version: ConfigVersion,
    /// Why it was refused.
    pub reason: String,
}

/// The state of reading the document source. Each field is synchronized
/// separately.
#[derive(Debug)]
pub struct SourceState {
    /// Newest version that this node has read from the source, or `None` before
    /// the first read.
    pub newest_version: watch::Sender<Option<ConfigVersion>>,
    /// The newest document that this node has read and refused, if it holds no later version.
    pub refused: Mutex<Option<RefusedDocument>>,
    /// Era of the source as far as this node knows, or `None` before the first read.
    pub era: watch::Sender<Option<SourceEra>>,
    /// Whether this node currently reads the source itself.
    pub is_reading: AtomicBool,
    /// When the source last answered this node.
    pub answered_at: Mutex<Option<Instant>>,
    /// When this node last sent heartbeats to the members that it reads for.
    pub heartbeat_sent_at: Mutex<Option<Instant>>,
    /// What the heartbeats of a reader, a member that reads the source for this node,
    /// say about the source's last answer.
    pub reader_contact: Mutex<ReaderContact>,
    /// How far this node or its reader has read the source: the version in force
    /// at that point and the position of the next read.
    pub read_position: Mutex<Option<(ConfigVersion, SourcePosition)>>,
    /// Keeps this node from pulling the configuration several times at once.
    pub pull_lease: Mutex<PullLease>,
    /// A version that a peer holds and this node lacks, and when this node heard
    /// of it.
    missing_version: Mutex<Option<(ConfigVersion, Instant)>>,
}

impl SourceState {
    /// Returns the state of a node that has read nothing.
    pub fn new() -> Self {
        Self {
            newest_version: watch::Sender::new(None),
            refused: Mutex::default(),
            era: watch::Sender::new(None),
            is_reading: AtomicBool::new(false),
            answered_at: Mutex::default(),
            heartbeat_sent_at: Mutex::default(),
            reader_contact: Mutex::default(),
            read_position: Mutex::default(),
            pull_lease: Mutex::default(),
            missing_version: Mutex::default(),
        }
    }

    /// Records the era of an answer of the source, or one that a reader reports, and logs
    /// if the source was restored since.
    pub fn record_era(&self, era: SourceEra) {
        let known = *self.era.borrow();
        let is_newer = self.era.send_if_modified(|known| {
            let is_newer = known.is_none_or(|known| known < era);
            if is_newer {
                *known = Some(era);
            }
            is_newer
        });
        if let Some(known) = known
            && is_newer
        {
            log::warn!(event = "source-restored", era:% = era, before:% = known; "config");
        }
    }

    /// Returns the era of the source as far as this node knows.
    pub fn known_era(&self) -> SourceEra {
        self.era.borrow().unwrap_or_default()
    }

    /// Records that a peer holds `version` while this node holds `held`. An
    /// earlier record stays until this node holds the recorded version, so that
    /// further versions do not restart its timeout.
    pub fn record_missing_version(
        &self,
        version: ConfigVersion,
        held: ConfigVersion,
        now: Instant,
    ) {
        let mut missing_version = lock(&self.missing_version);
        if missing_version.is_none_or(|(first, _)| first <= held) {
            *missing_version = Some((version, now));
        }
    }

    /// Returns `true` if this node, which holds `held`, lacks a version of its peers.
    pub fn is_missing(&self, held: ConfigVersion) -> bool {
        lock(&self.missing_version).is_some_and(|(first, _)| first > held)
    }

    /// Returns `true` if this node, which holds `held`, has lacked a version of its
    /// peers for longer than it normally takes to receive one.
    pub fn is_overdue(&self, held: ConfigVersion, now: Instant) -> bool {
        lock(&self.missing_version).is_some_and(|(first, since)| {
            first > held && now.saturating_duration_since(since) >= OVERDUE_TIMEOUT
        })
    }
}

impl Default for SourceState {
    fn default() -> Self {
        Self::new()
    }
}
