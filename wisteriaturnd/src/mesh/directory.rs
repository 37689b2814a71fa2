//! Finding other nodes through a directory.
//!
//! A node writes its entry when it starts and reads the others' after that.
//! From then on members tell each other; the directory is read again now and
//! then, so that two halves which started apart find each other.

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

/// Pauses after a failed write or read grow between these bounds, with jitter.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// Time between two reads by a node that knows others: reads are billed, and a
/// split of the mesh is rare.
const REFRESH_TIME: Duration = Duration::from_secs(60);

/// Time that a member must have been gone before its entry is removed; well
/// above a restart.
const GONE_TIME: Duration = Duration::from_secs(60);

/// Writes the own entry and keeps looking for others while the node runs.
pub async fn directory_task(node: NodeHandle, port: DirectoryPort) {
    let mut backoff = BACKOFF.0;
    while let Err(error) = enter(&node, &port).await {
        log::warn!(event = "directory-entry-failed", error:% = error; "member");
        tokio::time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(BACKOFF.1);
    }
    loop {
        tokio::time::sleep(jittered(REFRESH_TIME)).await;
        match discover_members(&node, &port).await {
            Ok(records) => remove_gone(&node, &port, &records).await,
            Err(error) => {
                log::warn!(event = "directory-read-failed", error:% = error; "member");
            }
        }
    }
}

/// Writes the own entry and reads the others' after that. Of two nodes that
/// start together, the one that writes last then sees the other; were they to
/// read before they write, neither might, until they read again.
async fn enter(node: &NodeHandle, port: &DirectoryPort) -> Result<(), LogError> {
    let record = lock(&node.table).own().clone();
    port.publish(record).await?;
    discover_members(node, port).await?;
    Ok(())
}

/// Reads the directory and takes its entries as members, to be probed.
///
/// # Errors
///
/// [`LogError`] when the directory does not answer.
pub async fn discover_members(
    node: &NodeHandle,
    port: &DirectoryPort,
) -> Result<Vec<MemberRecord>, LogError> {
    let records = port.list().await?;
    log::info!(event = "directory-read", entries = records.len(); "member");
    merge_records(node, records.clone());
    Ok(records)
}

/// One node, the same in all tables that agree, removes entries of the dead.
async fn remove_gone(node: &NodeHandle, port: &DirectoryPort, records: &[MemberRecord]) {
    let gone: Vec<NodeAddress> = {
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
                    && now.saturating_duration_since(entry.updated_at) >= GONE_TIME
            })
            .map(|entry| entry.record.address)
            .collect()
    };
    for address in gone {
        match port.remove(address).await {
            Ok(()) => log::info!(event = "directory-removed", member:% = address; "member"),
            Err(error) => {
                log::warn!(event = "directory-write-failed", error:% = error; "member");
                return;
            }
        }
    }
}
