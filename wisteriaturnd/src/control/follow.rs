//! Reads the configuration from the log: continuously on a relay, and once on a
//! node that writes a change or that starts.

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

/// Name of the log stream that holds the configuration changes.
pub const CONFIG_STREAM: &str = "config";

/// Name of the log stream that holds the snapshots.
pub const SNAPSHOT_STREAM: &str = "snapshots";

/// Maximum number of records in one read.
const MAX_READ_RECORDS: usize = 256;

/// Time for which the log keeps a read open while there is no new record.
const POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum and maximum pause after a failed read; each failure doubles it.
const READ_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Interval at which a node that is not a relay checks whether it has become one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Age at which the last snapshot is replaced, so that the log's retention always
/// covers one.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(6 * 3600);

/// Reads the log whenever this node is a relay. Never returns.
pub async fn follow_task(node: NodeHandle) {
    let mut backoff = READ_BACKOFF.0;
    let mut last_snapshot = LastSnapshot::default();
    loop {
        if !node.is_relay() {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        match read_once(&node, POLL_TIMEOUT).await {
            Ok(_) => {
                backoff = READ_BACKOFF.0;
                write_snapshot_when_due(&node, &mut last_snapshot).await;
            }
            Err(error) => {
                log::warn!(event = "log-read-failed", error:% = error; "config");
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(READ_BACKOFF.1);
            }
        }
    }
}

/// Reads the records after the version that this node holds, folds them and
/// pushes them to other nodes. Returns the version at the end of the log.
///
/// If the log has trimmed these records, loads the newest snapshot instead and
/// returns the version of this node after that.
///
/// # Errors
///
/// Returns a [`LogError`] if the log cannot be read, or if the records are
/// trimmed and no snapshot covers them.
pub async fn read_once(node: &NodeHandle, wait: Duration) -> Result<ConfigVersion, LogError> {
    let version = lock(&node.store).version();
    let request = ReadRequest {
        stream: CONFIG_STREAM.to_owned(),
        from: Offset(version.0),
        limit: MAX_READ_RECORDS,
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
        if let FoldOutcome::Folded(_) = gossip::apply_record(node, next, &record.data) {
            gossip::push_record(node, next, &record.data).await;
        }
    }
    Ok(ConfigVersion(batch.next.0))
}

/// Reads until this node holds every record of the log. Returns the version that
/// the log has reached.
///
/// # Errors
///
/// Returns the errors of [`read_once`].
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

/// Adopts the newest snapshot in the log if it is newer than the current state.
async fn load_snapshot(node: &NodeState) -> Result<(), LogError> {
    let mut assembler = SnapshotAssembler::new();
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
                    assembler.add_record(&record.data);
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
    let Some(state) = assembler.into_newest() else {
        return Ok(());
    };
    let version = state.version();
    if lock(&node.store).adopt(state) {
        node.publish_view();
        log::info!(event = "snapshot-adopted", version:% = version; "config");
    }
    Ok(())
}

/// The version of the last snapshot that this node wrote, and when it wrote it.
#[derive(Debug, Default)]
struct LastSnapshot {
    written: Option<(ConfigVersion, Instant)>,
}

/// Writes a snapshot if this node is the snapshot writer and enough versions or
/// enough time have passed since its last one.
async fn write_snapshot_when_due(node: &NodeHandle, last_snapshot: &mut LastSnapshot) {
    let writer = snapshot_writer(&lock(&node.table));
    if writer != Some(node.address()) {
        return;
    }
    let now = node.clock.now();
    let version = lock(&node.store).version();
    let snapshot_every = node.settings.tuning.snapshot_every;
    let is_due = match last_snapshot.written {
        Some((written_version, written_at)) => {
            version.0 >= written_version.0 + snapshot_every
                || now.duration_since(written_at) >= MAX_SNAPSHOT_AGE
        }
        None => version.0 >= snapshot_every,
    };
    if !is_due {
        return;
    }
    match write_snapshot(node).await {
        Ok(()) => {
            last_snapshot.written = Some((version, now));
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
