//! Discovery of other nodes through a directory.
//!
//! A node that starts reads its own entry, which names the targets that left before, then
//! writes it and reads the entries of the others. After that, members learn about each
//! other by gossip. The directory is still read periodically, so that two parts of the
//! mesh that started without knowing each other are joined. The entry is written again
//! when a target leaves, and when the store was restored.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use wisteriaturn::clock::lock;
use wisteriaturn::error::LogError;
use wisteriaturn::ids::{Incarnation, InstanceId, NodeAddress, Sequence, SourceEra};
use wisteriaturn::member::directory::DirectoryPort;
use wisteriaturn::member::record::MemberRecord;
use wisteriaturn::member::role::snapshot_writer;

use crate::gate::targets;
use crate::jitter::jittered;
use crate::mesh::departures::{StoredEntry, departure_keys};
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

/// Restores what this node recorded in the directory before, writes its entry and reads
/// those of others. Then periodically discovers other nodes and removes stale entries, for
/// as long as the node runs.
pub async fn directory_task(node: NodeHandle, port: DirectoryPort) {
    read_until_answered(&node, &port).await;
    tokio::spawn(entry_task(node.clone(), port.clone()));
    // If two nodes start at the same time, the one that writes last sees the other. If
    // they read before they wrote, each could miss the other until the next read.
    let mut entry_era = wait_for_entry_after(&node, None).await;
    read_until_answered(&node, &port).await;
    let mut interval = FIRST_REFRESH_INTERVAL;
    loop {
        tokio::select! {
            era = wait_for_entry_after(&node, Some(entry_era)) => {
                entry_era = era;
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

/// Reads the directory, however often that takes.
async fn read_until_answered(node: &NodeHandle, port: &DirectoryPort) {
    let mut backoff = REGISTER_BACKOFF.0;
    while let Err(error) = discover_members(node, port).await {
        log::warn!(event = "directory-read-failed", error:% = error; "member");
        tokio::time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(REGISTER_BACKOFF.1);
    }
}

/// Writes the entry of this node, and writes it again when its departures change or the
/// store was restored. Never returns.
///
/// Only this task writes the entry, so that an older one never replaces a newer one.
async fn entry_task(node: NodeHandle, port: DirectoryPort) {
    loop {
        let stored = publish(&node, &port).await;
        let era = stored.era;
        let departures = stored.departures.clone();
        node.departures.stored.send_replace(Some(stored));
        tokio::select! {
            () = wait_for_departures_after(&node, &departures) => {}
            () = wait_for_later_era(&node, era) => {
                // All nodes learn of the restore within moments.
                let share = rand::rng().random_range(0.0..1.0);
                tokio::select! {
                    () = wait_for_departures_after(&node, &departures) => {}
                    () = tokio::time::sleep(RENEWAL_TIME.mul_f64(share)) => {}
                }
            }
        }
    }
}

/// Writes the entry of this node, however often that takes. Returns what was written.
async fn publish(node: &NodeHandle, port: &DirectoryPort) -> StoredEntry {
    let mut backoff = REGISTER_BACKOFF.0;
    loop {
        let entry = directory_entry(node);
        let departures = departure_keys(&entry.departures);
        match port.publish(entry).await {
            Ok(era) => return StoredEntry { era, departures },
            Err(error) => log::warn!(event = "directory-entry-failed", error:% = error; "member"),
        }
        tokio::time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(REGISTER_BACKOFF.1);
    }
}

/// Returns the record of this node as it was when the node started, with the departures
/// of its targets. Whoever reads it learns an address; any record that members spread has
/// a higher rank.
fn directory_entry(node: &NodeHandle) -> MemberRecord {
    MemberRecord {
        sequence: Sequence(0),
        is_ready: false,
        targets: Vec::new(),
        ..lock(&node.table).own().clone()
    }
}

/// Waits until the departures of this node's targets differ from those in its entry.
async fn wait_for_departures_after(
    node: &NodeHandle,
    stored: &BTreeSet<(InstanceId, Incarnation)>,
) {
    loop {
        let changed = node.departures.changed.notified();
        if departure_keys(&lock(&node.table).own().departures) != *stored {
            return;
        }
        changed.await;
    }
}

/// Waits until the entry of this node was written in a later era than `era`, and returns
/// the era in which it was.
async fn wait_for_entry_after(node: &NodeHandle, era: Option<SourceEra>) -> SourceEra {
    let mut stored = node.departures.stored.subscribe();
    let is_later = |stored: &Option<StoredEntry>| stored.as_ref().map(|stored| stored.era) > era;
    // The node owns the sender, so the wait cannot fail.
    let stored = stored.wait_for(is_later).await;
    stored
        .ok()
        .and_then(|stored| stored.as_ref().map(|stored| stored.era))
        .unwrap_or_default()
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
/// they are probed. Restores the departures in this node's own entry. Returns the entries.
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
    let own = records
        .iter()
        .find(|record| record.address == node.address());
    // After its first read, this run writes an entry of its own.
    let is_first_read = node.departures.has_earlier_entry.set(own.is_some()).is_ok();
    if is_first_read {
        log::info!(event = "earlier-entry", found = own.is_some(); "member");
    }
    if let Some(own) = own {
        targets::restore_departures(node, &own.departures).await;
    }
    node.departures.is_restored.send_replace(true);
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
