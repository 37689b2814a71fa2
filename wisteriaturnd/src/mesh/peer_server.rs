//! The server side of the peer port, with one task for each connection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::Framed;
use wisteriaturn::clock::lock;
use wisteriaturn::ids::{ConfigVersion, DataCentre, NodeAddress};
use wisteriaturn::member::record::MemberRecord;
use wisteriaturn::member::rumor::Rumor;
use wisteriaturn::peer::frame::{decode_frame, encode_frame};
use wisteriaturn::peer::message::{HolderReport, MAX_RECORDS_BYTES, PeerAnswer, PeerRequest};

use crate::error::LinkError;
use crate::mesh::gossip;
use crate::mesh::handshake::{self, PortKind};
use crate::mesh::hop;
use crate::mesh::peer_client::{frame_codec, merge_records, records_in};
use crate::mesh::rumors;
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeStage};

/// Maximum number of open connections. Further ones are dropped.
const MAX_CONNECTIONS: usize = 512;

/// Maximum number of joins and snapshots that are answered concurrently. When
/// many nodes restart at once, the others are told that this node is busy, so
/// that each transfer ends soon.
const MAX_CONCURRENT_TRANSFERS: usize = 4;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for the answer of a member that is asked whether it holds a version.
const HOLDER_PING_TIMEOUT: Duration = Duration::from_millis(250);

/// Accepts connections to the peer port for as long as the node runs.
pub async fn accept_task(node: NodeHandle, listener: TcpListener) {
    let connection_permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let transfer_permits = Arc::new(Semaphore::new(MAX_CONCURRENT_TRANSFERS));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(event = "accept-failed", port = "peer", error:% = error; "peer");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
            node.metrics.record_drop("peer-connections");
            continue;
        };
        let (node, transfer_permits) = (node.clone(), Arc::clone(&transfer_permits));
        tokio::spawn(async move {
            if let Err(error) = serve(&node, stream, &transfer_permits).await {
                log::debug!(event = "peer-closed", peer:% = from, error:% = error; "peer");
            }
            drop(permit);
        });
    }
}

/// Answers the requests on a connection until the peer closes it or it has been
/// idle for [`IDLE_TIMEOUT`].
async fn serve(
    node: &NodeHandle,
    mut stream: TcpStream,
    transfer_permits: &Semaphore,
) -> Result<(), LinkError> {
    let connection_lost = |error: std::io::Error| LinkError::Lost(error.to_string());
    stream.set_nodelay(true).map_err(connection_lost)?;
    let accepted = handshake::accept(
        &mut stream,
        &node.settings.keys,
        PortKind::Peer,
        node.boot_id,
    )
    .await;
    if let Err(error) = accepted {
        node.metrics.record_drop("peer-unauthenticated");
        return Err(error);
    }
    let mut framed = Framed::new(stream, frame_codec());
    loop {
        let Some(frame) = tokio::time::timeout(IDLE_TIMEOUT, framed.next()).await? else {
            return Ok(());
        };
        let request: PeerRequest = decode_frame(&frame.map_err(connection_lost)?)?;
        let (peer, kind) = (sender_of(&request), traffic_kind(&request));
        let answer = encode_frame(&answer_request(node, request, transfer_permits).await)?;
        // Counts the IP and TCP headers of one packet as well.
        if let Some(peer) = peer {
            node.record_sent(kind, peer, answer.len() + 40);
        } else {
            let reach = crate::metrics::TrafficReach::Unknown;
            node.metrics.record_sent(kind, reach, answer.len() + 40);
        }
        framed
            .send(Bytes::from(answer))
            .await
            .map_err(connection_lost)?;
    }
}

/// Returns the address of the sender, which only a join contains.
fn sender_of(request: &PeerRequest) -> Option<NodeAddress> {
    match request {
        PeerRequest::Join { record, .. } => Some(record.address),
        _ => None,
    }
}

fn traffic_kind(request: &PeerRequest) -> TrafficKind {
    match request {
        PeerRequest::Join { .. } | PeerRequest::Pull { .. } => TrafficKind::Transfer,
        PeerRequest::Compare { .. } | PeerRequest::Exchange { .. } => TrafficKind::AntiEntropy,
        PeerRequest::Holders { .. } => TrafficKind::Convergence,
        PeerRequest::Claim(_) | PeerRequest::Inquire { .. } => TrafficKind::Claim,
    }
}

async fn answer_request(
    node: &NodeHandle,
    request: PeerRequest,
    transfer_permits: &Semaphore,
) -> PeerAnswer {
    match request {
        PeerRequest::Join { record, digests } => match transfer_permits.try_acquire() {
            Ok(_permit) => answer_join(node, record, &digests).await,
            Err(_) => PeerAnswer::Busy,
        },
        PeerRequest::Compare { digests } => {
            PeerAnswer::Differing(differing_data_centres(node, &digests))
        }
        PeerRequest::Exchange {
            data_centres,
            records,
        } => answer_exchange(node, &data_centres, records),
        PeerRequest::Pull { version } => answer_pull(node, version, transfer_permits),
        PeerRequest::Holders { version } => {
            PeerAnswer::Holders(collect_holders(node, version).await)
        }
        PeerRequest::Claim(request) => PeerAnswer::Claimed(node.keeper.submit(node, request).await),
        PeerRequest::Inquire { hop, call, boot_id } => {
            PeerAnswer::Inquired(hop::revoke_for_peer(node, hop, call, boot_id).await)
        }
    }
}

/// Returns the data centres whose digests differ from those of this node,
/// including data centres that only one side knows.
fn differing_data_centres(
    node: &NodeHandle,
    digests: &BTreeMap<DataCentre, u64>,
) -> Vec<DataCentre> {
    let table = lock(&node.table);
    let own = table.digests();
    let all_data_centres = own.keys().chain(digests.keys());
    let mut data_centres: Vec<_> = all_data_centres
        .filter(|data_centre| own.get(*data_centre) != digests.get(*data_centre))
        .cloned()
        .collect();
    data_centres.sort();
    data_centres.dedup();
    data_centres
}

/// Answers a join. Merges and spreads the record of the joining node if its
/// incarnation is higher than the one known.
async fn answer_join(
    node: &NodeHandle,
    record: MemberRecord,
    digests: &BTreeMap<DataCentre, u64>,
) -> PeerAnswer {
    let joining_node = record.address;
    let (seen_version, seen_incarnation, departures) = lock(&node.table)
        .get(joining_node)
        .map(|entry| {
            (
                entry.held_version,
                entry.record.incarnation,
                entry.departures.clone(),
            )
        })
        .unwrap_or_default();
    // A restarted node whose incarnation is lower than the one seen raises it
    // and joins again. The record is merged before the digests are compared;
    // otherwise the joining node's data centre would differ merely by that node.
    if record.incarnation > seen_incarnation {
        lock(&node.table).merge(record.clone(), node.clock.now());
        node.members_changed.notify_one();
        rumors::spread(node, Rumor::Member(record)).await;
    }
    PeerAnswer::Joined {
        records: records_in(node, &differing_data_centres(node, digests)),
        status: node.status(),
        is_ready: node.current_stage() >= NodeStage::Ready,
        seen_version,
        seen_incarnation,
        departures,
        rollouts: node.rollouts.states(),
    }
}

/// Answers an exchange of member records: merges those that the peer has sent and
/// returns those of the given data centres that it lacks or has older versions of.
fn answer_exchange(
    node: &NodeHandle,
    data_centres: &[DataCentre],
    records: Vec<MemberRecord>,
) -> PeerAnswer {
    let received_ranks: std::collections::HashMap<_, _> = records
        .iter()
        .map(|record| (record.address, record.rank()))
        .collect();
    let missing = records_in(node, data_centres)
        .into_iter()
        .filter(|record| {
            received_ranks
                .get(&record.address)
                .is_none_or(|rank| *rank < record.rank())
        })
        .collect();
    merge_records(node, records);
    PeerAnswer::Records(missing)
}

/// Answers a pull with the newer records if they are still kept, otherwise with a
/// delta or a snapshot. A snapshot needs a transfer permit.
fn answer_pull(
    node: &NodeHandle,
    version: ConfigVersion,
    transfer_permits: &Semaphore,
) -> PeerAnswer {
    let mut store = lock(&node.store);
    if let Some(records) = store.records_after(version, MAX_RECORDS_BYTES) {
        return PeerAnswer::Tail {
            first: ConfigVersion(version.0 + 1),
            records,
        };
    }
    if let Some(delta) = store.delta_from(version) {
        return PeerAnswer::Delta(delta);
    }
    if transfer_permits.try_acquire().is_err() {
        return PeerAnswer::Busy;
    }
    match store.snapshot() {
        Ok(snapshot) => PeerAnswer::Snapshot(snapshot),
        Err(_) => PeerAnswer::Busy,
    }
}

/// Asks every live member of this data centre whether it holds `version` or a
/// later one. A member that does not answer is reported as a laggard.
pub async fn collect_holders(node: &NodeHandle, version: ConfigVersion) -> HolderReport {
    let own_data_centre = node.settings.data_centre.clone();
    let members: Vec<NodeAddress> = lock(&node.table)
        .live_in(&own_data_centre)
        .map(|record| record.address)
        .collect();
    let mut queries = tokio::task::JoinSet::new();
    for member in members {
        let node = node.clone();
        queries.spawn(async move { (member, holds_version(&node, member, version).await) });
    }
    let mut report = HolderReport {
        data_centre: own_data_centre,
        holders: 0,
        laggards: Vec::new(),
    };
    while let Some(Ok((member, is_holder))) = queries.join_next().await {
        if is_holder {
            report.holders += 1;
        } else {
            report.laggards.push(member);
        }
    }
    report.laggards.sort();
    report
}

async fn holds_version(node: &NodeHandle, member: NodeAddress, version: ConfigVersion) -> bool {
    if member == node.address() {
        return node.view.load().config.version >= version;
    }
    // A datagram may be lost, so a member that does not answer is asked twice.
    for _ in 0..2 {
        if let Some(status) = gossip::ping(node, member, HOLDER_PING_TIMEOUT).await {
            return status.version >= version;
        }
    }
    false
}
