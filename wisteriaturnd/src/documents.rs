//! Following a source of whole configurations.
//!
//! Every node waits at the source itself: a change is in force one round trip
//! after it was written, and no role has to be handed over when a node goes.
//! A node that the source turns away learns the version from its peers' probes
//! and pulls it from one of them. Versions only rise, so it does not matter
//! which way was faster, and a source that answers with an old document, or
//! with the history cut off, moves nothing back.

use std::time::Duration;

use rand::RngExt;
use wisteriaturn::clock::lock;
use wisteriaturn::config::document::{ConfigDocument, DocumentBatch, DocumentPort};
use wisteriaturn::config::fold::ConfigState;
use wisteriaturn::error::LogError;
use wisteriaturn::ids::{ConfigVersion, Offset};

use crate::node::NodeHandle;

/// How long the source holds a read open when there is no document. A read
/// whose answer was lost goes unnoticed for as long, so it stays below the time
/// in which a change must be in force after an outage.
const POLL_TIME: Duration = Duration::from_secs(4);

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
    loop {
        let read = match reader.position {
            None => port.newest().await,
            Some(from) => port.follow(from, POLL_TIME).await,
        };
        match read {
            Ok(batch) => {
                let is_news = batch.newest.is_some();
                reader.take(&node, batch);
                if is_news {
                    tokio::time::sleep(jittered(GATHER_TIME)).await;
                }
            }
            Err(error) => reader.pause(&error).await,
        }
    }
}

impl SourceReader {
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
            node.source_version.send_replace(Some(version));
        }
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

fn jittered(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.7..1.3))
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
    match ConfigState::try_from(document) {
        Ok(state) => {
            if lock(&node.store).adopt(state) {
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

/// Waits until the source was read or some time has passed.
pub async fn wait_source(node: &NodeHandle, wait: Duration) {
    let mut version = node.source_version.subscribe();
    // The sender lives in the node, so only the time can end this early.
    let _ = tokio::time::timeout(wait, version.wait_for(Option::is_some)).await;
}

/// Returns whether the source was read and at least `floor` is in force.
pub fn is_current(node: &NodeHandle, floor: ConfigVersion) -> bool {
    let has_read = node.source_version.borrow().is_some();
    has_read && lock(&node.store).version() >= floor
}
