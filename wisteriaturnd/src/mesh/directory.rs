//! Discovery of other nodes through a directory.
//!
//! A node publishes its entry when it starts and then reads the entries of the
//! others. After that, members learn about each other by gossip. The directory
//! is still read periodically, so that two parts of the mesh that started
//! without knowing each other are joined.

use std::time::Duration;

use wisteriaturn::clock::lock;
use wisteriaturn::error::LogError;
use wisteriaturn::ids::NodeAddress;
use wisteriaturn::member::directory::DirectoryPort;
use wisteriaturn::member::record::MemberRecord;
use wisteriaturn::member::role::snapshot_writer;

use crate::jitter::jittered;
use crate::mesh::peer_client::merge_records;
use crate::node::NodeHandle;

/// Minimum and maximum pause after a failed registration, before jitter; each
/// failure doubles it.
const REGISTER_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// Time between two reads of the directory. Reads are billed, and a split of the
/// mesh is rare.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);

/// How long the directory entry of a dead or left member is kept. A restart
/// takes much less, so it does not remove the entry.
const ENTRY_RETENTION: Duration = Duration::from_secs(60);

/// Registers this node in the directory, then periodically discovers other
/// nodes and removes stale entries, for as long as the node runs.
pub async fn directory_task(node: NodeHandle, port: DirectoryPort) {
    let mut backoff = REGISTER_BACKOFF.0;
    while let Err(error) = register(&node, &port).await {
        log::warn!(event = "directory-entry-failed", error:% = error; "member");
        tokio::time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(REGISTER_BACKOFF.1);
    }
    loop {
        tokio::time::sleep(jittered(REFRESH_INTERVAL)).await;
        match discover_members(&node, &port).await {
            Ok(records) => remove_stale_entries(&node, &port, &records).await,
            Err(error) => {
                log::warn!(event = "directory-read-failed", error:% = error; "member");
            }
        }
    }
}

/// Publishes the entry of this node and then reads the others. If two nodes
/// start at the same time, the one that publishes last sees the other. If they
/// read before they published, each could miss the other until the next read.
async fn register(node: &NodeHandle, port: &DirectoryPort) -> Result<(), LogError> {
    let record = lock(&node.table).own().clone();
    port.publish(record).await?;
    discover_members(node, port).await?;
    Ok(())
}

/// Reads the directory and merges its entries into the member table, so that
/// they are probed. Returns the entries.
///
/// # Errors
///
/// Returns [`LogError`] if the directory cannot be read.
pub async fn discover_members(
    node: &NodeHandle,
    port: &DirectoryPort,
) -> Result<Vec<MemberRecord>, LogError> {
    let records = port.list().await?;
    log::info!(event = "directory-read", entries = records.len(); "member");
    merge_records(node, records.clone());
    Ok(records)
}

/// Removes the entries of members that have been dead or left for
/// [`ENTRY_RETENTION`]. Only the member that writes snapshots does this; nodes
/// with equal member tables agree on which one that is.
async fn remove_stale_entries(node: &NodeHandle, port: &DirectoryPort, records: &[MemberRecord]) {
    let stale: Vec<NodeAddress> = {
        let table = lock(&node.table);
        if snapshot_writer(&table) != Some(node.address()) {
            return;
        }
        let now = node.clock.now();
        records
            .iter()
            .filter_map(|record| table.get(record.address))
            .filter(|entry| {
                !entry.record.is_live()
                    && now.saturating_duration_since(entry.updated_at) >= ENTRY_RETENTION
            })
            .map(|entry| entry.record.address)
            .collect()
    };
    for address in stale {
        match port.remove(address).await {
            Ok(()) => log::info!(event = "directory-removed", member:% = address; "member"),
            Err(error) => {
                log::warn!(event = "directory-write-failed", error:% = error; "member");
                return;
            }
        }
    }
}
