//! Keeps the departures of this node's targets where they outlive its process.
//!
//! A target that announced its departure keeps serving for a while, and its earlier
//! announcements may still arrive. An acknowledgement of the departure promises that no
//! node calls it any more, also after any number of nodes was restarted. So a departure is
//! acknowledged only when it is recorded outside of this process: in this node's entry of
//! the directory or, while that cannot be written, with two other nodes.
//!
//! Those two may be killed together with this node before the directory can be written.
//! A node that has an entry from an earlier run therefore takes the first announcement of
//! a target as outdated and waits for the next one. Only a node that finds no entry of its
//! own knows that there was no such run, and a node without an entry acknowledges nothing
//! that the directory does not hold.
//!
//! The trade-off: each departure costs one write to the directory, and its acknowledgement
//! waits for that; after a restart, a target serves one announcement later. A target that
//! is told to try again does so within moments.
//!
//! See [docs/decisions/0018](../../../docs/decisions/0018-departures-outlive-nodes.md).

use std::collections::BTreeSet;
use std::sync::{Mutex, OnceLock};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use wisteriaturn::clock::lock;
use wisteriaturn::ids::{Incarnation, InstanceId, SourceEra};
use wisteriaturn::member::record::TargetDeparture;
use wisteriaturn::member::role::departure_witnesses;
use wisteriaturn::peer::message::{PeerAnswer, PeerRequest};

use crate::mesh::peer_client;
use crate::metrics::TrafficKind;
use crate::node::NodeHandle;

/// Maximum time for recording a departure. A target considers an acknowledgement that
/// takes over a second as failed.
const RECORD_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for the directory alone, before other nodes are asked.
const DIRECTORY_TIME: Duration = Duration::from_millis(300);

/// Number of other nodes that must hold a departure that the directory does not.
const MIN_WITNESSES: usize = 2;

/// Number of other nodes that are asked to hold it.
const ASKED_WITNESSES: usize = 5;

/// Maximum time for which the announcement of a target waits until the departures from
/// earlier runs of this node are known.
const RESTORE_TIMEOUT: Duration = Duration::from_millis(800);

/// The entry of this node in the directory, as it was last written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEntry {
    /// The era of the store in which it was written.
    pub era: SourceEra,
    /// The departures in it.
    pub departures: BTreeSet<(InstanceId, Incarnation)>,
}

/// What this node knows of departures that are recorded outside of its process.
#[derive(Debug)]
pub struct DepartureRecords {
    /// Whether the departures from earlier runs of this node are known.
    pub is_restored: watch::Sender<bool>,
    /// Whether the directory had an entry of this node when this run first read it. Not set
    /// before that.
    pub has_earlier_entry: OnceLock<bool>,
    /// The entry in the directory, or `None` if this run has not written it yet.
    pub stored: watch::Sender<Option<StoredEntry>>,
    /// Notified when the departures of this node have changed.
    pub changed: Notify,
    /// The departures that other members hold because the directory could not be written.
    witnessed: Mutex<BTreeSet<(InstanceId, Incarnation)>>,
}

impl DepartureRecords {
    /// Returns the state of a node that has not looked for earlier departures.
    pub fn new() -> Self {
        Self {
            is_restored: watch::Sender::new(false),
            has_earlier_entry: OnceLock::new(),
            stored: watch::Sender::new(None),
            changed: Notify::new(),
            witnessed: Mutex::default(),
        }
    }
}

impl Default for DepartureRecords {
    fn default() -> Self {
        Self::new()
    }
}

/// Where a departure is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordPlace {
    Directory,
    Members,
}

/// Returns the names under which departures are compared.
pub(crate) fn departure_keys(
    departures: &[TargetDeparture],
) -> BTreeSet<(InstanceId, Incarnation)> {
    departures
        .iter()
        .map(|departure| (departure.instance.clone(), departure.incarnation))
        .collect()
}

/// Waits until the departures from earlier runs of this node are known. Returns `false`
/// if they are not known in time.
pub(crate) async fn wait_until_restored(node: &NodeHandle) -> bool {
    if node.directory.is_none() {
        return true;
    }
    let mut is_restored = node.departures.is_restored.subscribe();
    let waiting = is_restored.wait_for(|is_restored| *is_restored);
    timeout(RESTORE_TIMEOUT, waiting).await.is_ok()
}

/// Returns `true` if an earlier run of this node may have acknowledged a departure that is
/// not recorded any more.
pub(crate) fn may_be_forgotten(node: &NodeHandle) -> bool {
    node.directory.is_some() && node.departures.has_earlier_entry.get() != Some(&false)
}

/// Returns `true` if the directory has an entry of this node, by which its next run knows
/// that there was an earlier one.
fn has_entry(node: &NodeHandle) -> bool {
    node.departures.has_earlier_entry.get() == Some(&true)
        || node.departures.stored.borrow().is_some()
}

/// Records the published departure of a target outside of this process. Returns `true`
/// once it is recorded, and `false` if that fails for [`RECORD_TIMEOUT`].
///
/// A node without a directory only tells the other members.
pub(crate) async fn record(node: &NodeHandle, instance: &InstanceId) -> bool {
    if node.directory.is_none() || is_recorded(node, instance) {
        return true;
    }
    let started = node.clock.now();
    let place = timeout(RECORD_TIMEOUT, async {
        tokio::select! {
            () = wait_until_stored(node, instance) => RecordPlace::Directory,
            () = wait_for_witnesses(node), if has_entry(node) => RecordPlace::Members,
        }
    })
    .await;
    let took = node.clock.now().saturating_duration_since(started);
    match place {
        Ok(place) => log::info!(
            event = "departure-recorded",
            target:% = instance,
            place:? = place,
            took_ms = took.as_millis() as u64;
            "place"
        ),
        Err(_) => log::warn!(
            event = "departure-unrecorded",
            target:% = instance,
            took_ms = took.as_millis() as u64;
            "place"
        ),
    }
    place.is_ok()
}

/// Returns the departures of an instance that this node publishes.
fn departures_of(node: &NodeHandle, instance: &InstanceId) -> BTreeSet<(InstanceId, Incarnation)> {
    let mut departures = departure_keys(&lock(&node.table).own().departures);
    departures.retain(|(name, _)| name == instance);
    departures
}

fn is_recorded(node: &NodeHandle, instance: &InstanceId) -> bool {
    let departures = departures_of(node, instance);
    departures.is_subset(&lock(&node.departures.witnessed))
        || StoredEntry::has(node.departures.stored.borrow().as_ref(), &departures)
}

impl StoredEntry {
    fn has(stored: Option<&Self>, departures: &BTreeSet<(InstanceId, Incarnation)>) -> bool {
        stored.is_some_and(|stored| departures.is_subset(&stored.departures))
    }
}

/// Waits until the directory has the latest departure of an instance.
async fn wait_until_stored(node: &NodeHandle, instance: &InstanceId) {
    let departures = departures_of(node, instance);
    let mut stored = node.departures.stored.subscribe();
    // The node owns the sender, so the wait cannot fail.
    let _ = stored
        .wait_for(|stored| StoredEntry::has(stored.as_ref(), &departures))
        .await;
}

/// Sends this node's record to other members until [`MIN_WITNESSES`] of them have
/// confirmed that they hold it.
async fn wait_for_witnesses(node: &NodeHandle) {
    sleep(DIRECTORY_TIME).await;
    let (record, members) = {
        let table = lock(&node.table);
        let members = departure_witnesses(&table, node.address(), ASKED_WITNESSES);
        (table.own().clone(), members)
    };
    let departures = departure_keys(&record.departures);
    let request = PeerRequest::Exchange {
        data_centres: Vec::new(),
        records: vec![record],
    };
    let mut answers: FuturesUnordered<_> = members
        .into_iter()
        .map(|member| peer_client::request(node, member, &request, TrafficKind::Push))
        .collect();
    let mut witnesses = 0;
    while let Some(answer) = answers.next().await {
        witnesses += usize::from(matches!(answer, Ok(PeerAnswer::Records(_))));
        if witnesses >= MIN_WITNESSES {
            *lock(&node.departures.witnessed) = departures;
            return;
        }
    }
    std::future::pending().await
}
