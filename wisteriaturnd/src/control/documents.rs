//! Following a source of whole configurations.
//!
//! One member of each data centre waits at the source for a cell of others; a
//! sign of life tells them that it had an answer just now, and which version is
//! in force. They pull what changed from it. A node that misses the signs, since
//! its reader is gone or is turned away, reads for itself at once, and a node
//! that the source turns away learns versions from its peers' probes. Versions
//! only rise, so it does not matter which way was faster, and a source that
//! answers with an old document, or with the history cut off, moves nothing back.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use wisteriaturn::clock::lock;
use wisteriaturn::config::document::{ConfigDocument, DocumentBatch, DocumentPort};
use wisteriaturn::error::LogError;
use wisteriaturn::ids::{ConfigVersion, Offset};
use wisteriaturn::member::reader::{
    READER_HEARTBEAT_INTERVAL, READER_TIMEOUT, members_read_by, readers,
};
use wisteriaturn::peer::message::Datagram;

use crate::jitter::jittered;
use crate::mesh::gossip;
use crate::mesh::peer_client;
use crate::metrics::TrafficKind;
use crate::node::NodeHandle;

/// How long the source holds a read open when there is no document. Each answer
/// proves that the source is there, and a reader's signs of life need that proof.
const POLL_TIME: Duration = Duration::from_secs(1);

/// Age of the last answer up to which a reader gives signs of life: a read and
/// a slow answer.
const PROOF_TIME: Duration = Duration::from_millis(1_300);

/// How often a node that does not read looks whether it has to.
const ROLE_CHECK: Duration = Duration::from_millis(200);

/// Pauses after a failed read grow between these bounds, with jitter.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Pause after a document, in which more may come: versions in quick succession
/// are then read together. A quarter of the time in which the fastest users want
/// a change in force.
const GATHER_TIME: Duration = Duration::from_millis(500);

/// Where a node stands in its source.
#[derive(Debug)]
struct SourceReader {
    position: Option<Offset>,
    backoff: Duration,
    is_lost: bool,
}

/// Follows the source for as long as the node runs.
pub async fn follow_task(node: NodeHandle, port: DocumentPort) {
    let mut reader = SourceReader {
        position: None,
        backoff: BACKOFF.0,
        is_lost: false,
    };
    node.source.is_reading.store(true, Ordering::Release);
    loop {
        if !reader.has_to_read(&node) {
            tokio::time::sleep(ROLE_CHECK).await;
            continue;
        }
        let read = match reader.position {
            None => port.newest().await,
            Some(from) => port.follow(from, POLL_TIME).await,
        };
        match read {
            Ok(batch) => {
                let is_news = batch.newest.is_some();
                reader.take(&node, batch);
                *lock(&node.source.answered_at) = Some(node.clock.now());
                if is_news {
                    give_sign(&node).await;
                    tokio::time::sleep(jittered(GATHER_TIME)).await;
                }
            }
            Err(error) => reader.pause(&error).await,
        }
    }
}

impl SourceReader {
    /// Tells whether this node reads for others, or has nobody to read for it.
    fn has_to_read(&mut self, node: &NodeHandle) -> bool {
        // A reader may be heard and not be reached: its link loses what is long,
        // or lets only datagrams through.
        let is_reading = !node.was_ready.load(Ordering::Acquire)
            || is_reader(node)
            || !hears_reader(node)
            || node.is_version_overdue();
        if node.source.is_reading.swap(is_reading, Ordering::AcqRel) != is_reading {
            log::info!(event = "source-reading", chosen = is_reading; "place");
            // What the reader told of its position saves reading all anew.
            self.position = known_position(node);
        }
        is_reading
    }

    fn take(&mut self, node: &NodeHandle, batch: DocumentBatch) {
        if self.is_lost {
            log::info!(event = "source-regained", position:% = batch.next; "config");
            self.is_lost = false;
        }
        self.backoff = BACKOFF.0;
        // A source that is behind may answer with an end before the own position.
        self.position = self.position.max(Some(batch.next));
        if let Some(document) = batch.newest {
            let version = document.version;
            adopt(node, document);
            node.source.newest_version.send_replace(Some(version));
        }
        let version = lock(&node.store).version();
        *lock(&node.source.read_position) = self.position.map(|position| (version, position));
    }

    async fn pause(&mut self, error: &LogError) {
        if let LogError::Trimmed { first } = error {
            log::info!(event = "source-trimmed", first:% = first; "config");
            self.position = None;
            return;
        }
        if !self.is_lost {
            log::warn!(event = "source-lost", error:% = error; "config");
            self.is_lost = true;
        }
        tokio::time::sleep(jittered(self.backoff)).await;
        self.backoff = (self.backoff * 2).min(BACKOFF.1);
    }
}

/// Puts a document in force if it is newer than what is.
fn adopt(node: &NodeHandle, document: ConfigDocument) {
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
        }
    }
}

/// Returns where to go on reading, if all that was written before is held.
fn known_position(node: &NodeHandle) -> Option<Offset> {
    let held = lock(&node.store).version();
    let mark = *lock(&node.source.read_position);
    mark.filter(|(version, _)| held >= *version)
        .map(|(_, position)| position)
}

fn is_reader(node: &NodeHandle) -> bool {
    let table = lock(&node.table);
    readers(&table, &node.settings.data_centre).contains(&node.address())
}

fn hears_reader(node: &NodeHandle) -> bool {
    let now = node.clock.now();
    let heard = *lock(&node.source.reader_heard_at);
    heard.is_some_and(|heard| now.saturating_duration_since(heard) < READER_TIMEOUT)
}

/// Gives signs of life to the members that this node reads for.
pub async fn heartbeat_task(node: NodeHandle) {
    loop {
        tokio::time::sleep(READER_HEARTBEAT_INTERVAL).await;
        give_sign(&node).await;
    }
}

async fn give_sign(node: &NodeHandle) {
    let now = node.clock.now();
    let is_proved = lock(&node.source.answered_at)
        .is_some_and(|when| now.saturating_duration_since(when) < PROOF_TIME);
    if !is_proved || !is_reader(node) {
        return;
    }
    let cell = {
        let table = lock(&node.table);
        members_read_by(&table, &node.settings.data_centre, node.address())
    };
    let version = lock(&node.store).version();
    let Some(position) = known_position(node) else {
        return;
    };
    for member in cell {
        let sign = Datagram::ReaderHeartbeat { version, position };
        gossip::send(node, member, &sign, TrafficKind::Push).await;
    }
}

/// Takes a sign of life of the member that reads for this node, and pulls what
/// it has newer.
pub fn handle_heartbeat(
    node: &NodeHandle,
    from: SocketAddr,
    version: ConfigVersion,
    position: Offset,
) {
    *lock(&node.source.reader_heard_at) = Some(node.clock.now());
    {
        let mut mark = lock(&node.source.read_position);
        if mark.is_none_or(|(held, at)| (held, at) <= (version, position)) {
            *mark = Some((version, position));
        }
    }
    if version > lock(&node.store).version() {
        node.record_missing_version(version);
        peer_client::spawn_pull(node, from);
    }
}

/// Waits until the source was read or some time has passed.
pub async fn wait_for_source(node: &NodeHandle, wait: Duration) {
    let mut version = node.source.newest_version.subscribe();
    // The sender lives in the node, so only the time can end this early.
    let _ = tokio::time::timeout(wait, version.wait_for(Option::is_some)).await;
}

/// Returns whether the source was read and at least `floor` is in force.
pub fn is_current(node: &NodeHandle, floor: ConfigVersion) -> bool {
    let has_read = node.source.newest_version.borrow().is_some();
    has_read && lock(&node.store).version() >= floor
}
