//! Reading the configuration from the log: what a relay does all the time and
//! what a writer or a starting node does once.

use std::time::{Duration, Instant};

use wisteriaturn::clock::lock;
use wisteriaturn::config::snapshot::{SnapshotAssembler, split_snapshot};
use wisteriaturn::error::LogError;
use wisteriaturn::ids::{ConfigVersion, Offset};
use wisteriaturn::log_port::ReadRequest;
use wisteriaturn::member::role::snapshot_writer;

use crate::control::store::FoldOutcome;
use crate::mesh::gossip;
use crate::node::{NodeHandle, NodeState};

/// Name of the stream of configuration changes.
pub const CONFIG_STREAM: &str = "config";

/// Name of the stream of snapshots.
pub const SNAPSHOT_STREAM: &str = "snapshots";

/// Records in one read.
const READ_LIMIT: usize = 256;

/// How long the log holds a read open when there is no record.
const POLL_TIME: Duration = Duration::from_secs(10);

/// Pauses after a failed read grow between these bounds.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// How often a node that is no relay looks whether it has become one.
const ROLE_CHECK: Duration = Duration::from_millis(200);

/// Time after which a snapshot is written anew, so that one is always within
/// the log's retention.
const SNAPSHOT_AGE: Duration = Duration::from_secs(6 * 3600);

/// Reads the log for as long as this node is a relay.
pub async fn follow_task(node: NodeHandle) {
    let mut backoff = BACKOFF.0;
    let mut snapshot = SnapshotMark::default();
    loop {
        if !node.is_relay() {
            tokio::time::sleep(ROLE_CHECK).await;
            continue;
        }
        match read_once(&node, POLL_TIME).await {
            Ok(_) => {
                backoff = BACKOFF.0;
                write_snapshot_when_due(&node, &mut snapshot).await;
            }
            Err(error) => {
                log::warn!(event = "log-read-failed", error:% = error; "config");
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF.1);
            }
        }
    }
}

/// Reads the records after the own version, folds and pushes them. Returns
/// the version that the log's end leads to.
///
/// # Errors
///
/// [`LogError`] when the log does not answer.
pub async fn read_once(node: &NodeHandle, wait: Duration) -> Result<ConfigVersion, LogError> {
    let version = lock(&node.store).version();
    let request = ReadRequest {
        stream: CONFIG_STREAM.to_owned(),
        from: Offset(version.0),
        limit: READ_LIMIT,
        wait,
    };
    let batch = match node.log.read(request).await {
        Ok(batch) => batch,
        Err(LogError::Trimmed { first }) => {
            load_snapshot(node).await?;
            if lock(&node.store).version().0 < first.0 {
                return Err(LogError::Trimmed { first });
            }
            return Ok(lock(&node.store).version());
        }
        Err(error) => return Err(error),
    };
    for record in batch.records {
        let next = ConfigVersion(record.offset.0 + 1);
        if let FoldOutcome::Folded(_) = gossip::fold_record(node, next, &record.data) {
            gossip::push_record(node, next, &record.data).await;
        }
    }
    Ok(ConfigVersion(batch.next.0))
}

/// Reads until this node holds all that the log has.
///
/// # Errors
///
/// [`LogError`] when the log does not answer.
pub async fn read_to_end(node: &NodeHandle) -> Result<ConfigVersion, LogError> {
    if lock(&node.store).version() == ConfigVersion(0) {
        load_snapshot(node).await?;
    }
    loop {
        let end = read_once(node, Duration::ZERO).await?;
        if lock(&node.store).version() >= end {
            return Ok(end);
        }
    }
}

/// Takes the newest snapshot of the log when it is newer than what is held.
async fn load_snapshot(node: &NodeState) -> Result<(), LogError> {
    let mut reader = SnapshotAssembler::new();
    let mut from = Offset(0);
    loop {
        let request = ReadRequest {
            stream: SNAPSHOT_STREAM.to_owned(),
            from,
            limit: 16,
            wait: Duration::ZERO,
        };
        match node.log.read(request).await {
            Ok(batch) => {
                for record in &batch.records {
                    reader.add_record(&record.data);
                }
                from.0 += batch.records.len() as u64;
                if from >= batch.next {
                    break;
                }
            }
            Err(LogError::Trimmed { first }) => from = first,
            Err(error) => return Err(error),
        }
    }
    let Some(state) = reader.into_newest() else {
        return Ok(());
    };
    let version = state.version();
    if lock(&node.store).adopt(state) {
        node.publish_view();
        log::info!(event = "snapshot-adopted", version:% = version; "config");
    }
    Ok(())
}

/// The snapshot that this node wrote last.
#[derive(Debug, Default)]
struct SnapshotMark {
    written: Option<(ConfigVersion, Instant)>,
}

async fn write_snapshot_when_due(node: &NodeHandle, mark: &mut SnapshotMark) {
    let writer = snapshot_writer(&lock(&node.table));
    if writer != Some(node.address()) {
        return;
    }
    let now = node.clock.now();
    let version = lock(&node.store).version();
    let every = node.settings.tuning.snapshot_every;
    let is_due = match mark.written {
        Some((held, when)) => {
            version.0 >= held.0 + every || now.duration_since(when) >= SNAPSHOT_AGE
        }
        None => version.0 >= every,
    };
    if !is_due {
        return;
    }
    match write_snapshot(node).await {
        Ok(()) => {
            mark.written = Some((version, now));
            log::info!(event = "snapshot-written", version:% = version; "config");
        }
        Err(error) => log::warn!(event = "snapshot-failed", error:% = error; "config"),
    }
}

async fn write_snapshot(node: &NodeState) -> Result<(), LogError> {
    let (version, snapshot) = {
        let store = lock(&node.store);
        let snapshot = store
            .snapshot()
            .map_err(|error| LogError::Refused(error.to_string()))?;
        (store.version(), snapshot)
    };
    for chunk in split_snapshot(version, &snapshot) {
        let record = chunk
            .encode()
            .map_err(|error| LogError::Refused(error.to_string()))?;
        node.log.append(SNAPSHOT_STREAM, record).await?;
    }
    Ok(())
}
