//! Discovery of other nodes through a directory.
//!
//! A node publishes its entry when it starts and then reads the entries of the
//! others. After that, members learn about each other by gossip. The directory
//! is still read periodically, so that two parts of the mesh that started
//! without knowing each other are joined.

use std::time::Duration;

use rand::RngExt;
use wisteriaturn::clock::lock;
use wisteriaturn::error::LogError;
use wisteriaturn::ids::{NodeAddress, Sequence, SourceEra};
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

/// Time from the start to the first read after registration, by a node that knows few
/// others.
const FIRST_REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Number of known members, including the node itself, up to which it reads again early.
const FEW_MEMBERS: usize = 3;

/// Time over which the nodes spread the writes of their entries after the store was
/// restored.
const RENEWAL_TIME: Duration = Duration::from_secs(2);

/// How long the directory entry of a dead or left member is kept. A restart
/// takes much less, so it does not remove the entry.
const ENTRY_RETENTION: Duration = Duration::from_secs(60);

/// Registers this node in the directory, then periodically discovers other
/// nodes and removes stale entries, for as long as the node runs. Registers again when
/// the store was restored.
pub async fn directory_task(node: NodeHandle, port: DirectoryPort) {
    let mut entry_era = register(&node, &port).await;
    let mut interval = FIRST_REFRESH_INTERVAL;
    loop {
        tokio::select! {
            () = wait_for_later_era(&node, entry_era) => {
                // All nodes learn of the restore within moments.
                let share = rand::rng().random_range(0.0..1.0);
                tokio::time::sleep(RENEWAL_TIME.mul_f64(share)).await;
                entry_era = publish(&node, &port).await;
                log::info!(event = "directory-entry-renewed", era:% = entry_era; "member");
                // Nodes that were started meanwhile may have found nobody. It is enough
                // that one member finds them.
                if node.is_source_reader() {
                    tokio::time::sleep(jittered(RENEWAL_TIME)).await;
                    refresh(&node, &port).await;
                }
            }
            () = tokio::time::sleep(jittered(interval)) => {
                if interval == REFRESH_INTERVAL || is_nearly_alone(&node) {
                    refresh(&node, &port).await;
                }
                interval = REFRESH_INTERVAL;
            }
        }
    }
}

/// Publishes the entry of this node and then reads the others. If two nodes
/// start at the same time, the one that publishes last sees the other. If they
/// read before they published, each could miss the other until the next read.
/// Returns the era in which the entry was written.
async fn register(node: &NodeHandle, port: &DirectoryPort) -> SourceEra {
    let mut backoff = REGISTER_BACKOFF.0;
    loop {
        let era = publish(node, port).await;
        match discover_members(node, port).await {
            Ok(_) => return era,
            Err(error) => log::warn!(event = "directory-read-failed", error:% = error; "member"),
        }
        tokio::time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(REGISTER_BACKOFF.1);
    }
}

/// Publishes the entry of this node, however often that takes. Returns the era in which
/// it was written.
async fn publish(node: &NodeHandle, port: &DirectoryPort) -> SourceEra {
    let mut backoff = REGISTER_BACKOFF.0;
    loop {
        match port.publish(directory_entry(node)).await {
            Ok(era) => return era,
            Err(error) => log::warn!(event = "directory-entry-failed", error:% = error; "member"),
        }
        tokio::time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(REGISTER_BACKOFF.1);
    }
}

/// Returns the record of this node as it was when the node started. Whoever reads it
/// learns an address; any record that members spread has a higher rank.
fn directory_entry(node: &NodeHandle) -> MemberRecord {
    MemberRecord {
        sequence: Sequence(0),
        is_ready: false,
        targets: Vec::new(),
        departures: Vec::new(),
        ..lock(&node.table).own().clone()
    }
}

/// Waits until this node learns that the store was restored after `era`.
async fn wait_for_later_era(node: &NodeHandle, era: SourceEra) {
    let mut known = node.source.era.subscribe();
    // The node owns the sender, so the wait cannot fail.
    let _ = known
        .wait_for(|known| known.is_some_and(|known| known > era))
        .await;
}

/// Returns `true` if this node knows so few others that it may have missed the rest.
fn is_nearly_alone(node: &NodeHandle) -> bool {
    lock(&node.table).len() <= FEW_MEMBERS
}

async fn refresh(node: &NodeHandle, port: &DirectoryPort) {
    match discover_members(node, port).await {
        Ok(records) => remove_stale_entries(node, port, &records).await,
        Err(error) => {
            log::warn!(event = "directory-read-failed", error:% = error; "member");
        }
    }
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
