//! The peer port: one task for each connection.

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

/// Connections that are open at once.
const CONNECTION_LIMIT: usize = 512;

/// Joins and snapshots that are sent at once. After a herd of restarts the
/// others are told to come back, so that each transfer ends soon.
const TRANSFER_LIMIT: usize = 4;

/// How long a connection may be idle.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Time in which a member answers who holds a version.
const HOLDER_TIME: Duration = Duration::from_millis(250);

/// Accepts connections for as long as the node runs.
pub async fn accept_task(node: NodeHandle, listener: TcpListener) {
    let connections = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    let transfers = Arc::new(Semaphore::new(TRANSFER_LIMIT));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(event = "accept-failed", port = "peer", error:% = error; "peer");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            node.metrics.record_drop("peer-connections");
            continue;
        };
        let (node, transfers) = (node.clone(), Arc::clone(&transfers));
        tokio::spawn(async move {
            if let Err(error) = serve(&node, stream, &transfers).await {
                log::debug!(event = "peer-closed", peer:% = from, error:% = error; "peer");
            }
            drop(permit);
        });
    }
}

async fn serve(
    node: &NodeHandle,
    mut stream: TcpStream,
    transfers: &Semaphore,
) -> Result<(), LinkError> {
    let lost = |error: std::io::Error| LinkError::Lost(error.to_string());
    stream.set_nodelay(true).map_err(lost)?;
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
        let Some(frame) = tokio::time::timeout(IDLE_TIME, framed.next()).await? else {
            return Ok(());
        };
        let request: PeerRequest = decode_frame(&frame.map_err(lost)?)?;
        let (peer, kind) = (sender_of(&request), kind_of(&request));
        let answer = encode_frame(&handle(node, request, transfers).await)?;
        if let Some(peer) = peer {
            node.record_sent(kind, peer, answer.len() + 40);
        } else {
            let reach = crate::metrics::TrafficReach::Unknown;
            node.metrics.record_sent(kind, reach, answer.len() + 40);
        }
        framed.send(Bytes::from(answer)).await.map_err(lost)?;
    }
}

fn sender_of(request: &PeerRequest) -> Option<NodeAddress> {
    match request {
        PeerRequest::Join { record, .. } => Some(record.address),
        _ => None,
    }
}

fn kind_of(request: &PeerRequest) -> TrafficKind {
    match request {
        PeerRequest::Join { .. } | PeerRequest::Pull { .. } => TrafficKind::Transfer,
        PeerRequest::Compare { .. } | PeerRequest::Exchange { .. } => TrafficKind::AntiEntropy,
        PeerRequest::Holders { .. } => TrafficKind::Convergence,
        PeerRequest::Claim(_) | PeerRequest::Inquire { .. } => TrafficKind::Claim,
    }
}

async fn handle(node: &NodeHandle, request: PeerRequest, transfers: &Semaphore) -> PeerAnswer {
    match request {
        PeerRequest::Join { record, digests } => match transfers.try_acquire() {
            Ok(_permit) => join(node, record, &digests).await,
            Err(_) => PeerAnswer::Busy,
        },
        PeerRequest::Compare { digests } => PeerAnswer::Differing(differing(node, &digests)),
        PeerRequest::Exchange {
            data_centres,
            records,
        } => exchange(node, &data_centres, records),
        PeerRequest::Pull { version } => pull(node, version, transfers),
        PeerRequest::Holders { version } => {
            PeerAnswer::Holders(collect_holders(node, version).await)
        }
        PeerRequest::Claim(demand) => PeerAnswer::Claimed(node.keeper.submit(node, demand).await),
        PeerRequest::Inquire { hop, call, boot_id } => {
            PeerAnswer::Inquired(hop::revoke_for_peer(node, hop, call, boot_id).await)
        }
    }
}

/// Returns the data centres whose members this node knows differently.
fn differing(node: &NodeHandle, digests: &BTreeMap<DataCentre, u64>) -> Vec<DataCentre> {
    let table = lock(&node.table);
    let own = table.digests();
    let places = own.keys().chain(digests.keys());
    let mut differ: Vec<_> = places
        .filter(|place| own.get(*place) != digests.get(*place))
        .cloned()
        .collect();
    differ.sort();
    differ.dedup();
    differ
}

async fn join(
    node: &NodeHandle,
    record: MemberRecord,
    digests: &BTreeMap<DataCentre, u64>,
) -> PeerAnswer {
    let joiner = record.address;
    let (seen_version, seen_incarnation, departures) = lock(&node.table)
        .get(joiner)
        .map(|seen| {
            (
                seen.held_version,
                seen.record.incarnation,
                seen.departures.clone(),
            )
        })
        .unwrap_or_default();
    // A restarted node with a lower incarnation joins again with a higher one.
    // The record is taken before digests are compared, or the joiner's own data
    // centre would differ by the joiner itself.
    if record.incarnation > seen_incarnation {
        lock(&node.table).merge(record.clone(), node.clock.now());
        node.members_changed.notify_one();
        rumors::spread(node, Rumor::Member(record)).await;
    }
    PeerAnswer::Joined {
        records: records_in(node, &differing(node, digests)),
        status: node.status(),
        is_ready: node.current_stage() >= NodeStage::Ready,
        seen_version,
        seen_incarnation,
        departures,
    }
}

/// Takes the records of the other side and returns those that it lacks.
fn exchange(
    node: &NodeHandle,
    data_centres: &[DataCentre],
    records: Vec<MemberRecord>,
) -> PeerAnswer {
    let theirs: std::collections::HashMap<_, _> = records
        .iter()
        .map(|record| (record.address, record.rank()))
        .collect();
    let lacking = records_in(node, data_centres)
        .into_iter()
        .filter(|record| {
            theirs
                .get(&record.address)
                .is_none_or(|rank| *rank < record.rank())
        })
        .collect();
    merge_records(node, records);
    PeerAnswer::Records(lacking)
}

fn pull(node: &NodeHandle, version: ConfigVersion, transfers: &Semaphore) -> PeerAnswer {
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
    if transfers.try_acquire().is_err() {
        return PeerAnswer::Busy;
    }
    match store.snapshot() {
        Ok(snapshot) => PeerAnswer::Snapshot(snapshot),
        Err(_) => PeerAnswer::Busy,
    }
}

/// Asks every live member of this data centre whether it holds a version.
pub async fn collect_holders(node: &NodeHandle, version: ConfigVersion) -> HolderReport {
    let place = node.settings.data_centre.clone();
    let members: Vec<NodeAddress> = lock(&node.table)
        .live_in(&place)
        .map(|record| record.address)
        .collect();
    let mut asked = tokio::task::JoinSet::new();
    for member in members {
        let node = node.clone();
        asked.spawn(async move { (member, holds(&node, member, version).await) });
    }
    let mut report = HolderReport {
        data_centre: place,
        holders: 0,
        laggards: Vec::new(),
    };
    while let Some(Ok((member, is_holder))) = asked.join_next().await {
        if is_holder {
            report.holders += 1;
        } else {
            report.laggards.push(member);
        }
    }
    report.laggards.sort();
    report
}

async fn holds(node: &NodeHandle, member: NodeAddress, version: ConfigVersion) -> bool {
    if member == node.address() {
        return node.view.load().config.version >= version;
    }
    // A datagram can be lost, so a silent member is asked once more.
    for _ in 0..2 {
        if let Some(status) = gossip::ping(node, member, HOLDER_TIME).await {
            return status.version >= version;
        }
    }
    false
}
