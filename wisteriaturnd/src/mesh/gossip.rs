//! Datagrams: sending and receiving them, and what probes and pushed records
//! lead to. News is in [`crate::mesh::rumors`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use wisteriaturn::clock::lock;
use wisteriaturn::ids::{ConfigVersion, NodeAddress};
use wisteriaturn::invariant::{Invariant, check};
use wisteriaturn::member::probe::random_peers;
use wisteriaturn::member::record::MemberState;
use wisteriaturn::member::rumor::Rumor;
use wisteriaturn::peer::auth::TAG_LENGTH;
use wisteriaturn::peer::message::{
    Datagram, MAX_DATAGRAM_BYTES, MAX_RUMOR_BYTES, NodeStatus, decode, encode,
};

use crate::control::documents;
use crate::control::store::FoldOutcome;
use crate::mesh::peer_client;
use crate::mesh::rumors;
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeState};

/// Bytes of IP and UDP headers, counted so that control bytes are what the
/// network carries.
const HEADER_BYTES: usize = 28;

/// Largest record that goes along in a datagram.
const INLINE_LIMIT: usize = MAX_DATAGRAM_BYTES - TAG_LENGTH - 32;

/// Sends a datagram; a loss is found by the next probe.
pub async fn send(node: &NodeState, to: SocketAddr, datagram: &Datagram, kind: TrafficKind) {
    let Ok(message) = encode(datagram) else {
        return;
    };
    let sealed = node.settings.keys.seal(message);
    if sealed.len() > MAX_DATAGRAM_BYTES {
        node.metrics.record_drop("datagram-too-large");
        return;
    }
    node.record_sent(kind, to, sealed.len() + HEADER_BYTES);
    let _ = node.udp.send_to(&sealed, node.addresses.map(to)).await;
}

/// Sends a ping and returns what the other node says of itself, if it answers.
pub async fn ping(node: &NodeState, to: NodeAddress, wait: Duration) -> Option<NodeStatus> {
    let nonce = rand::random();
    let receiver = expect_ack(node, nonce);
    let datagram = Datagram::Ping {
        nonce,
        status: node.status(),
        rumors: lock(&node.rumors).take(MAX_RUMOR_BYTES),
    };
    send(node, to, &datagram, TrafficKind::Probe).await;
    wait_ack(node, nonce, receiver, wait).await
}

/// Asks others to ping a node; returns whether one of them reached it.
pub async fn ping_indirectly(
    node: &NodeState,
    helpers: &[NodeAddress],
    target: NodeAddress,
    wait: Duration,
) -> bool {
    let nonce = rand::random();
    let receiver = expect_ack(node, nonce);
    for helper in helpers {
        send(
            node,
            *helper,
            &Datagram::IndirectPing { nonce, target },
            TrafficKind::Probe,
        )
        .await;
    }
    wait_ack(node, nonce, receiver, wait).await.is_some()
}

fn expect_ack(node: &NodeState, nonce: u64) -> oneshot::Receiver<NodeStatus> {
    let (sender, receiver) = oneshot::channel();
    lock(&node.pending_pings).insert(nonce, sender);
    receiver
}

async fn wait_ack(
    node: &NodeState,
    nonce: u64,
    receiver: oneshot::Receiver<NodeStatus>,
    wait: Duration,
) -> Option<NodeStatus> {
    let answer = tokio::time::timeout(wait, receiver).await;
    lock(&node.pending_pings).remove(&nonce);
    answer.ok()?.ok()
}

fn answer_pending(node: &NodeState, nonce: u64, status: NodeStatus) {
    if let Some(sender) = lock(&node.pending_pings).remove(&nonce) {
        let _ = sender.send(status);
    }
}

/// Receives datagrams for as long as the node runs.
pub async fn receive_task(node: NodeHandle) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let (length, from) = match node.udp.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // Linux reports an earlier send to a closed port here.
                log::debug!(event = "udp-error", error:% = error; "peer");
                continue;
            }
        };
        if length > MAX_DATAGRAM_BYTES {
            node.metrics.record_drop("datagram-too-large");
            continue;
        }
        let Ok(message) = node.settings.keys.open(&buffer[..length]) else {
            node.metrics.record_drop("datagram-unauthenticated");
            continue;
        };
        node.record_contact();
        match decode(message) {
            Ok(datagram) => receive(&node, from, datagram).await,
            Err(_) => node.metrics.record_drop("datagram-malformed"),
        }
    }
}

async fn receive(node: &NodeHandle, from: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Ping {
            nonce,
            status,
            rumors,
        } => {
            note_status(node, from, status);
            rumors::receive(node, from, rumors, false).await;
            let mut rumors = lock(&node.rumors).take(MAX_RUMOR_BYTES);
            rumors.extend(standing_of(node, from));
            let answer = Datagram::Ack {
                nonce,
                status: node.status(),
                rumors,
            };
            send(node, from, &answer, TrafficKind::Probe).await;
        }
        Datagram::Ack {
            nonce,
            status,
            rumors,
        } => {
            answer_pending(node, nonce, status);
            note_status(node, from, status);
            rumors::receive(node, from, rumors, false).await;
        }
        Datagram::IndirectPing { nonce, target } => {
            tokio::spawn(ping_for(node.clone(), from, nonce, target));
        }
        Datagram::IndirectAck { nonce } => answer_pending(node, nonce, node.status()),
        Datagram::Record { version, record } => {
            receive_record(node, from, version, record).await;
        }
        Datagram::ReaderHeartbeat { version, position } => {
            documents::handle_heartbeat(node, from, version, position);
        }
        Datagram::Rumors { rumors } => rumors::receive(node, from, rumors, true).await,
    }
}

async fn ping_for(node: NodeHandle, asker: SocketAddr, nonce: u64, target: NodeAddress) {
    if lock(&node.table).get(target).is_none() {
        return;
    }
    let wait = node.settings.tuning.probe_timeout;
    if ping(&node, target, wait).await.is_some() {
        send(
            &node,
            asker,
            &Datagram::IndirectAck { nonce },
            TrafficKind::Probe,
        )
        .await;
    }
}

/// Returns what this node holds against the sender, so that it can refute.
fn standing_of(node: &NodeState, address: SocketAddr) -> Option<Rumor> {
    let table = lock(&node.table);
    let record = &table.get(address)?.record;
    (record.state != MemberState::Alive).then(|| Rumor::Member(record.clone()))
}

/// Compares the state of another node with the own one.
fn note_status(node: &NodeHandle, from: SocketAddr, status: NodeStatus) {
    lock(&node.table).record_held_version(from, status.version);
    let own = node.status();
    if status.version > own.version && node.should_pull(status.version) {
        peer_client::spawn_pull(node, from);
    }
    if status.version == own.version {
        check(Invariant::SameFold, status.chain == own.chain);
    }
}

async fn receive_record(
    node: &NodeHandle,
    from: SocketAddr,
    version: ConfigVersion,
    record: Option<Bytes>,
) {
    let Some(record) = record else {
        if version > lock(&node.store).version() {
            peer_client::spawn_pull(node, from);
        }
        return;
    };
    match apply_record(node, version, &record) {
        FoldOutcome::Folded(_) => push_record(node, version, &record).await,
        FoldOutcome::Duplicate => {}
        FoldOutcome::Gap => peer_client::spawn_pull(node, from),
    }
}

/// Folds one record and puts the result in force.
pub fn apply_record(node: &NodeState, version: ConfigVersion, record: &Bytes) -> FoldOutcome {
    let step = lock(&node.store).fold(version, record);
    if let FoldOutcome::Folded(verdict) = &step {
        node.publish_view();
        log::info!(event = "folded", version:% = version, verdict:? = verdict; "config");
    }
    step
}

/// Pushes a configuration record to a few nodes of the data centre.
pub async fn push_record(node: &NodeState, version: ConfigVersion, record: &Bytes) {
    let datagram = Datagram::Record {
        version,
        record: (record.len() <= INLINE_LIMIT).then(|| record.clone()),
    };
    for peer in fanout_peers(node) {
        send(node, peer, &datagram, TrafficKind::Push).await;
    }
}

/// Returns a few random nodes of the data centre.
pub fn fanout_peers(node: &NodeState) -> Vec<NodeAddress> {
    let fanout = node.settings.tuning.fanout;
    random_peers(&lock(&node.table), fanout, &mut rand::rng())
}

/// Joins members into the view when they changed, but not on every change: a
/// herd of restarts would have every node build hundreds of views a second.
pub async fn view_task(node: NodeHandle) {
    const LEAST_INTERVAL: Duration = Duration::from_millis(20);
    loop {
        node.members_changed.notified().await;
        node.publish_view();
        let view = node.view.load();
        for service in view.config.services.keys() {
            let targets = view.targets(service);
            node.load
                .with_service(service, |load| load.retain_targets(&targets));
        }
        let live = {
            let table = lock(&node.table);
            table.iter().filter(|entry| entry.record.is_live()).count()
        };
        node.metrics.members.set(live as i64);
        node.update_retry_budgets();
        tokio::time::sleep(LEAST_INTERVAL).await;
    }
}
