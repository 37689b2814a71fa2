//! Sending and handling of datagrams: probes and configuration records.
//!
//! Rumors, which are piggybacked on probes or sent on their own, are handled in
//! [`crate::mesh::rumors`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use wisteriaturn::clock::lock;
use wisteriaturn::config::document::SourcePosition;
use wisteriaturn::ids::{ConfigVersion, NodeAddress, SourceEra};
use wisteriaturn::invariant::{Invariant, check};
use wisteriaturn::member::probe::random_peers;
use wisteriaturn::member::record::MemberState;
use wisteriaturn::member::rumor::Rumor;
use wisteriaturn::peer::auth::TAG_LENGTH;
use wisteriaturn::peer::message::{
    Datagram, MAX_DATAGRAM_BYTES, MAX_RUMOR_BYTES, NodeStatus, decode, encode,
};

use wisteriaturn::team::wallet::WalletQuestion;

use crate::control::documents;
use crate::control::store::FoldOutcome;
use crate::gate::targets;
use crate::mesh::peer_client;
use crate::mesh::rumors;
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeState};
use crate::team::keep;

/// Size of the IPv4 and UDP headers of a datagram. They are included in the
/// count of control bytes, which is what the network carries.
const UDP_HEADER_BYTES: usize = 28;

/// Maximum size of a configuration record that is sent within a datagram. A larger
/// one is only announced, and the receiver pulls it.
const MAX_INLINE_RECORD_BYTES: usize = MAX_DATAGRAM_BYTES - TAG_LENGTH - 32;

/// Sends a datagram. Errors are ignored: a later probe reveals what the receiver
/// has missed, and the data is then transferred over a connection.
pub async fn send(node: &NodeState, to: SocketAddr, datagram: &Datagram, kind: TrafficKind) {
    let Ok(message) = encode(datagram) else {
        return;
    };
    let sealed = node.settings.keys.seal(message);
    if sealed.len() > MAX_DATAGRAM_BYTES {
        node.metrics.record_drop("datagram-too-large");
        return;
    }
    node.record_sent(kind, to, sealed.len() + UDP_HEADER_BYTES);
    let _ = node.udp.send_to(&sealed, node.addresses.map(to)).await;
}

/// Pings a node and returns its status, or `None` if it does not answer within
/// `wait`.
pub async fn ping(node: &NodeState, to: NodeAddress, wait: Duration) -> Option<NodeStatus> {
    let nonce = rand::random();
    let receiver = register_ping(node, nonce);
    let datagram = Datagram::Ping {
        nonce,
        status: node.status(),
        rumors: lock(&node.rumors).take(MAX_RUMOR_BYTES),
    };
    send(node, to, &datagram, TrafficKind::Probe).await;
    wait_for_ack(node, nonce, receiver, wait).await
}

/// Asks `helpers` to ping `target` on behalf of this node (an indirect probe).
/// Returns `true` if at least one of them reports within `wait` that it
/// answered.
pub async fn ping_indirectly(
    node: &NodeState,
    helpers: &[NodeAddress],
    target: NodeAddress,
    wait: Duration,
) -> bool {
    let nonce = rand::random();
    let receiver = register_ping(node, nonce);
    for helper in helpers {
        send(
            node,
            *helper,
            &Datagram::IndirectPing { nonce, target },
            TrafficKind::Probe,
        )
        .await;
    }
    wait_for_ack(node, nonce, receiver, wait).await.is_some()
}

/// Registers a ping, so that an acknowledgement with its nonce is delivered to the
/// returned receiver.
fn register_ping(node: &NodeState, nonce: u64) -> oneshot::Receiver<NodeStatus> {
    let (sender, receiver) = oneshot::channel();
    lock(&node.pending_pings).insert(nonce, sender);
    receiver
}

/// Waits up to `wait` for the acknowledgement of a registered ping and then
/// unregisters the ping.
async fn wait_for_ack(
    node: &NodeState,
    nonce: u64,
    receiver: oneshot::Receiver<NodeStatus>,
    wait: Duration,
) -> Option<NodeStatus> {
    let answer = tokio::time::timeout(wait, receiver).await;
    lock(&node.pending_pings).remove(&nonce);
    answer.ok()?.ok()
}

fn complete_ping(node: &NodeState, nonce: u64, status: NodeStatus) {
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
                // Linux reports here that an earlier datagram was sent to a
                // closed port.
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
            Ok(datagram) => handle_datagram(&node, from, datagram).await,
            Err(_) => node.metrics.record_drop("datagram-malformed"),
        }
    }
}

async fn handle_datagram(node: &NodeHandle, from: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Ping {
            nonce,
            status,
            rumors,
        } => {
            handle_status(node, from, status);
            rumors::receive(node, from, rumors, false).await;
            let mut rumors = lock(&node.rumors).take(MAX_RUMOR_BYTES);
            rumors.extend(refutable_rumor(node, from));
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
            complete_ping(node, nonce, status);
            handle_status(node, from, status);
            rumors::receive(node, from, rumors, false).await;
        }
        Datagram::IndirectPing { nonce, target } => {
            tokio::spawn(ping_on_behalf(node.clone(), from, nonce, target));
        }
        // The waiting probe only needs to know that the target answered. The
        // datagram carries no status, so this node's own stands in for it.
        Datagram::IndirectAck { nonce } => complete_ping(node, nonce, node.status()),
        Datagram::Record { version, record } => {
            handle_record(node, from, version, record).await;
        }
        Datagram::ReaderHeartbeat { version, position } => {
            let position = SourcePosition {
                era: SourceEra::default(),
                offset: position,
            };
            documents::handle_heartbeat(node, from, version, position, Duration::ZERO);
        }
        Datagram::SourceHeartbeat {
            version,
            position,
            answer_age_ms,
        } => {
            let answer_age = Duration::from_millis(answer_age_ms.into());
            documents::handle_heartbeat(node, from, version, position, answer_age);
        }
        Datagram::Departures { departures } => {
            targets::restore_departures(node, &departures).await;
        }
        Datagram::AllowanceQuestion {
            team,
            number,
            wanted,
            is_first_silent,
        } => {
            let question = WalletQuestion {
                number,
                wanted,
                repeats: 0,
            };
            keep::handle_question(node, from, team, question, is_first_silent).await;
        }
        Datagram::AllowanceAnswer {
            team,
            number,
            grant,
        } => keep::take_answer(node, &team, number, grant),
        Datagram::RolloutEvidence {
            service,
            order,
            evidence,
        } => {
            let now = node.clock.now();
            node.rollouts
                .record_evidence(&service, order, from, evidence, now);
        }
        Datagram::Rumors { rumors } => rumors::receive(node, from, rumors, true).await,
    }
}

/// Pings a member for another node and reports to that node if it answered.
async fn ping_on_behalf(node: NodeHandle, requester: SocketAddr, nonce: u64, target: NodeAddress) {
    if lock(&node.table).get(target).is_none() {
        return;
    }
    let wait = node.settings.tuning.probe_timeout;
    if ping(&node, target, wait).await.is_some() {
        send(
            &node,
            requester,
            &Datagram::IndirectAck { nonce },
            TrafficKind::Probe,
        )
        .await;
    }
}

/// Returns a rumor with the record of a node that this node believes to be
/// suspect, dead or left, so that the node can refute it.
fn refutable_rumor(node: &NodeState, address: SocketAddr) -> Option<Rumor> {
    let table = lock(&node.table);
    let record = &table.get(address)?.record;
    (record.state != MemberState::Alive).then(|| Rumor::Member(record.clone()))
}

/// Records the configuration version of another node and pulls a newer one if
/// [`NodeState::should_pull`] allows it. Nodes with equal versions must have
/// equal hash chains.
fn handle_status(node: &NodeHandle, from: SocketAddr, status: NodeStatus) {
    lock(&node.table).record_held_version(from, status.version);
    let own = node.status();
    if status.version > own.version && node.should_pull(status.version) {
        peer_client::spawn_pull(node, from);
    }
    if status.version == own.version {
        check(Invariant::SameFold, status.chain == own.chain);
    }
}

/// Applies a pushed configuration record and pushes it on if it was new. If the
/// record is only announced or earlier ones are missing, pulls from the sender.
async fn handle_record(
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

/// Folds a configuration record into the store and publishes the resulting
/// view.
pub fn apply_record(node: &NodeState, version: ConfigVersion, record: &Bytes) -> FoldOutcome {
    let outcome = lock(&node.store).fold(version, record);
    if let FoldOutcome::Folded(verdict) = &outcome {
        node.publish_view();
        log::info!(event = "folded", version:% = version, verdict:? = verdict; "config");
    }
    outcome
}

/// Pushes a configuration record to a few random nodes of the data centre.
pub async fn push_record(node: &NodeState, version: ConfigVersion, record: &Bytes) {
    let datagram = Datagram::Record {
        version,
        record: (record.len() <= MAX_INLINE_RECORD_BYTES).then(|| record.clone()),
    };
    for peer in fanout_peers(node) {
        send(node, peer, &datagram, TrafficKind::Push).await;
    }
}

/// Returns up to `fanout` random live members of this node's data centre, without
/// this node.
pub fn fanout_peers(node: &NodeState) -> Vec<NodeAddress> {
    let fanout = node.settings.tuning.fanout;
    random_peers(&lock(&node.table), fanout, &mut rand::rng())
}

/// Rebuilds the view when members have changed, but at most once per
/// `MIN_REBUILD_INTERVAL`. Otherwise every node would build hundreds of views a
/// second while many nodes restart at once.
pub async fn view_task(node: NodeHandle) {
    const MIN_REBUILD_INTERVAL: Duration = Duration::from_millis(20);
    loop {
        node.members_changed.notified().await;
        node.publish_view();
        let view = node.view.load();
        for service in view.config.services.keys() {
            let targets = view.targets(service);
            let now = node.clock.now();
            node.load
                .with_service(service, |load| load.retain_targets(&targets, now));
        }
        let live = {
            let table = lock(&node.table);
            table.iter().filter(|entry| entry.record.is_live()).count()
        };
        node.metrics.members.set(live as i64);
        node.update_retry_budgets();
        tokio::time::sleep(MIN_REBUILD_INTERVAL).await;
    }
}
