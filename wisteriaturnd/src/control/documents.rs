//! Follows a source of whole configuration documents.
//!
//! In each data centre one or a few members, the readers, poll the source, each on
//! behalf of a group of others. A reader sends its group heartbeats, which say
//! that the source has just answered and which version is in force, and the
//! group pulls changes from the reader. A node that misses these heartbeats,
//! because its reader is gone or cannot reach the source, immediately reads the
//! source itself. A node that cannot reach the source either learns of new
//! versions from the probes of its peers.
//!
//! Versions only increase, so it does not matter which way delivers one first. A
//! source that answers with an old document or with a trimmed history reverts
//! nothing. A source that was restored from a copy is read anew: offsets of another era
//! may have been given out again.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use wisteriaturn::clock::lock;
use wisteriaturn::config::document::{ConfigDocument, DocumentBatch, DocumentPort, SourcePosition};
use wisteriaturn::error::LogError;
use wisteriaturn::ids::ConfigVersion;
use wisteriaturn::member::reader::{
    MAX_ANSWER_AGE, READ_INTERVAL, READER_HEARTBEAT_INTERVAL, members_read_by, readers,
};
use wisteriaturn::peer::message::Datagram;

use crate::control::source::RefusedDocument;
use crate::jitter::jittered;
use crate::mesh::gossip;
use crate::mesh::peer_client;
use crate::metrics::TrafficKind;
use crate::node::NodeHandle;
use crate::rollout::task;

/// Time for an answer of the source beyond the wait that a read allows, after which the
/// reader tries another connection. A source that answers no read in this time is given
/// the longer time of its port.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Minimum time for which the source keeps a read open, so that a late reader does not
/// poll without pause.
const MIN_WAIT: Duration = Duration::from_millis(300);

/// Interval at which a node that does not read the source checks whether it has
/// to.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum and maximum pause after a failed read, before jitter; each failure
/// doubles it.
const READ_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Pause after a document, so that versions in quick succession are read
/// together. It is a quarter of the time in which the most demanding users want a
/// change to be in force.
const BATCH_DELAY: Duration = Duration::from_millis(500);

/// The state of the task that reads the source.
#[derive(Debug)]
struct SourceReader {
    /// Position of the next read, or `None` to read the newest document.
    position: Option<SourcePosition>,
    backoff: Duration,
    /// Whether reads currently fail; only the first failure is logged.
    is_source_lost: bool,
}

/// Reads the source whenever this node has to. Never returns.
pub async fn follow_task(node: NodeHandle, port: DocumentPort) {
    let mut reader = SourceReader {
        position: None,
        backoff: READ_BACKOFF.0,
        is_source_lost: false,
    };
    node.source.is_reading.store(true, Ordering::Release);
    loop {
        if !reader.update_role(&node) {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        match reader.read(&node, &port).await {
            Ok(batch) => {
                let has_document = batch.newest.is_some();
                reader.handle_batch(&node, batch);
                *lock(&node.source.answered_at) = Some(node.clock.now());
                send_heartbeats(&node).await;
                if has_document {
                    tokio::time::sleep(jittered(BATCH_DELAY)).await;
                }
            }
            Err(error) => reader.handle_error(&error).await,
        }
    }
}

impl SourceReader {
    /// Reads the newest document, or waits for a document after the position that was
    /// reached, until [`READ_INTERVAL`] has passed since the last answer.
    async fn read(
        &self,
        node: &NodeHandle,
        port: &DocumentPort,
    ) -> Result<DocumentBatch, LogError> {
        let answer_age = answer_age(node).unwrap_or_default();
        let wait = READ_INTERVAL.saturating_sub(answer_age).max(MIN_WAIT);
        let read = async {
            match self.position {
                None => port.newest().await,
                Some(from) => port.follow(from.offset, wait).await,
            }
        };
        if self.is_source_lost {
            return read.await;
        }
        tokio::time::timeout(wait + ANSWER_TIMEOUT, read)
            .await
            .unwrap_or_else(|_| Err(LogError::Indeterminate("no answer to a read".to_owned())))
    }

    /// Decides whether this node must read the source, because it is a reader or
    /// because no reader serves it. When this changes, the next read starts at the
    /// last known position.
    fn update_role(&mut self, node: &NodeHandle) -> bool {
        // The heartbeats of a reader may arrive although pulls from it fail,
        // because its link drops long messages or passes only datagrams. The
        // version is then overdue.
        let is_reading = !node.was_ready.load(Ordering::Acquire)
            || is_reader(node)
            || !hears_reader(node)
            || node.is_version_overdue();
        if node.source.is_reading.swap(is_reading, Ordering::AcqRel) != is_reading {
            log::info!(event = "source-reading", chosen = is_reading; "place");
            // Starting at the position in the reader's heartbeats saves reading
            // the whole document again.
            self.position = known_position(node);
        }
        is_reading
    }

    fn handle_batch(&mut self, node: &NodeHandle, batch: DocumentBatch) {
        let next = SourcePosition {
            era: batch.era,
            offset: batch.next,
        };
        if self.is_source_lost {
            log::info!(event = "source-regained", position:% = next, era:% = next.era; "config");
            self.is_source_lost = false;
        }
        self.backoff = READ_BACKOFF.0;
        node.source.record_era(batch.era);
        self.position = match self.position {
            // What was read at an offset of another era may begin after documents that
            // were written since.
            Some(position) if position.era < next.era => None,
            // An outdated replica of the source may answer with an end before the
            // position that was already reached.
            position => position.max(Some(next)),
        };
        task::take_orders(node, batch.orders);
        if let Some(document) = batch.newest {
            let version = document.version;
            adopt_if_newer(node, document);
            node.source.newest_version.send_replace(Some(version));
        }
        let version = lock(&node.store).version();
        *lock(&node.source.read_position) = self.position.map(|position| (version, position));
    }

    /// Restarts from the newest document if the history was trimmed, or else waits
    /// before the next read.
    async fn handle_error(&mut self, error: &LogError) {
        if let LogError::Trimmed { first } = error {
            log::info!(event = "source-trimmed", first:% = first; "config");
            self.position = None;
            return;
        }
        if !self.is_source_lost {
            log::warn!(event = "source-lost", error:% = error; "config");
            self.is_source_lost = true;
        }
        tokio::time::sleep(jittered(self.backoff)).await;
        self.backoff = (self.backoff * 2).min(READ_BACKOFF.1);
    }
}

/// Puts a document in force if it is newer than the current configuration.
fn adopt_if_newer(node: &NodeHandle, document: ConfigDocument) {
    let version = document.version;
    let held = lock(&node.store).version();
    if version <= held {
        if version < held {
            log::debug!(event = "document-older", version:% = version, held:% = held; "config");
        }
        return;
    }
    let mut store = lock(&node.store);
    match document.into_state(store.state()) {
        Ok(state) => {
            let is_newer = store.adopt_document(state);
            drop(store);
            if is_newer {
                node.publish_view();
                *lock(&node.source.refused) = None;
                log::info!(event = "document-adopted", version:% = version, before:% = held; "config");
            }
        }
        Err(rejection) => {
            log::error!(
                event = "document-refused",
                version:% = version,
                held:% = held,
                reason:% = rejection;
                "config"
            );
            *lock(&node.source.refused) = Some(RefusedDocument {
                version,
                reason: rejection.to_string(),
            });
        }
    }
}

/// Returns the position at which to continue reading, or `None` if this node does
/// not hold the version in force at that position or the source was restored since.
fn known_position(node: &NodeHandle) -> Option<SourcePosition> {
    let held = lock(&node.store).version();
    let era = node.source.known_era();
    let read_position = *lock(&node.source.read_position);
    read_position
        .filter(|(version, position)| held >= *version && position.era >= era)
        .map(|(_, position)| position)
}

/// Returns `true` if this node is a reader of its data centre.
fn is_reader(node: &NodeHandle) -> bool {
    let table = lock(&node.table);
    readers(&table, &node.settings.data_centre).contains(&node.address())
}

/// Returns `true` if the source has lately answered a reader of this node.
fn hears_reader(node: &NodeHandle) -> bool {
    lock(&node.source.reader_contact).is_recent(node.clock.now())
}

/// Returns the time since the source last answered this node, if it ever did.
fn answer_age(node: &NodeHandle) -> Option<Duration> {
    let answered_at = *lock(&node.source.answered_at);
    answered_at.map(|answered_at| node.clock.now().saturating_duration_since(answered_at))
}

/// Sends heartbeats to the members that this node reads for, whenever the last ones were
/// sent [`READER_HEARTBEAT_INTERVAL`] ago. Never returns.
pub async fn heartbeat_task(node: NodeHandle) {
    loop {
        let sent_at = *lock(&node.source.heartbeat_sent_at);
        let since = sent_at.map(|sent_at| node.clock.now().saturating_duration_since(sent_at));
        let rest = READER_HEARTBEAT_INTERVAL.saturating_sub(since.unwrap_or_default());
        if rest.is_zero() {
            send_heartbeats(&node).await;
        } else {
            tokio::time::sleep(rest).await;
        }
    }
}

/// Sends one heartbeat to each member that this node reads for, if the source has
/// answered recently.
async fn send_heartbeats(node: &NodeHandle) {
    *lock(&node.source.heartbeat_sent_at) = Some(node.clock.now());
    let Some(answer_age) = answer_age(node).filter(|age| *age < MAX_ANSWER_AGE) else {
        return;
    };
    if !is_reader(node) {
        return;
    }
    let members = {
        let table = lock(&node.table);
        members_read_by(&table, &node.settings.data_centre, node.address())
    };
    let version = lock(&node.store).version();
    let Some(position) = known_position(node) else {
        return;
    };
    for member in members {
        let heartbeat = Datagram::SourceHeartbeat {
            version,
            position,
            answer_age_ms: u32::try_from(answer_age.as_millis()).unwrap_or(u32::MAX),
        };
        gossip::send(node, member, &heartbeat, TrafficKind::Push).await;
    }
}

/// Handles a heartbeat of the reader of this node, and pulls the reader's version
/// if it is newer.
pub fn handle_heartbeat(
    node: &NodeHandle,
    from: SocketAddr,
    version: ConfigVersion,
    position: SourcePosition,
    answer_age: Duration,
) {
    lock(&node.source.reader_contact).record_heartbeat(answer_age, node.clock.now());
    node.source.record_era(position.era);
    {
        let mut read_position = lock(&node.source.read_position);
        let is_later = read_position.is_none_or(|(known, reached)| {
            (reached.era, known, reached.offset) <= (position.era, version, position.offset)
        });
        if is_later {
            *read_position = Some((version, position));
        }
    }
    if version > lock(&node.store).version() {
        node.record_missing_version(version);
        peer_client::spawn_pull(node, from);
    }
}

/// Waits until this node has read a document from the source, at most for
/// `timeout`.
pub async fn wait_for_source(node: &NodeHandle, timeout: Duration) {
    let mut version = node.source.newest_version.subscribe();
    // The node owns the sender, so only the timeout can end the wait early.
    let _ = tokio::time::timeout(timeout, version.wait_for(Option::is_some)).await;
}

/// Returns `true` if this node has read a document from the source, and a configuration
/// that is at least as new as `min_version` is in force.
///
/// A document that was read and refused is not enough: without a configuration, every
/// call would get the answer that its route does not exist.
pub fn is_current(node: &NodeHandle, min_version: ConfigVersion) -> bool {
    let has_document = node.source.newest_version.borrow().is_some();
    let held = lock(&node.store).version();
    has_document && held > ConfigVersion(0) && held >= min_version
}
