//! Dissemination of rumors: small updates about members and suspected requests.
//!
//! A node forwards a rumor only if the rumor was new to it: it piggybacks it on
//! probes and, if the rumor was pushed, pushes it to a few random nodes of its
//! data centre. Between data centres, rumors are sent only by relays, to the
//! relays of the other data centres. The bytes on billed links therefore grow
//! with the number of data centres instead of the number of nodes.

use std::net::SocketAddr;

use wisteriaturn::clock::lock;
use wisteriaturn::ids::{DataCentre, NodeAddress};
use wisteriaturn::member::record::MemberRecord;
use wisteriaturn::member::role::{departure_keepers, relays};
use wisteriaturn::member::rumor::Rumor;
use wisteriaturn::member::table::{MemberTable, MergeOutcome};
use wisteriaturn::peer::message::Datagram;

use crate::mesh::gossip::{fanout_peers, send};
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeState};
use crate::rollout::task;

/// Merges rumors from another node and forwards those that were new to this
/// node. `is_pushed` is `true` for rumors that were sent at once instead of
/// piggybacked on a probe; the new ones among them are pushed on as well.
pub async fn receive(node: &NodeHandle, from: SocketAddr, rumors: Vec<Rumor>, is_pushed: bool) {
    let mut new_rumors = Vec::new();
    let mut has_new_members = false;
    for rumor in rumors {
        let is_member_record = matches!(rumor, Rumor::Member(_));
        if merge(node, rumor.clone()).await {
            has_new_members |= is_member_record;
            new_rumors.push(rumor);
        }
    }
    if has_new_members {
        node.members_changed.notify_one();
    }
    if new_rumors.is_empty() {
        return;
    }
    enqueue(node, &new_rumors);
    if is_pushed {
        push(node, &new_rumors).await;
    }
    forward_to_remote_relays(node, from, new_rumors).await;
}

/// Merges the record of a member into the table. If the member was restarted, returns
/// its earlier departures to it: it may have asked only members that were restarted as
/// well.
pub fn merge_member(node: &NodeHandle, record: MemberRecord) -> MergeOutcome {
    let address = record.address;
    let (outcome, departures) = {
        let mut table = lock(&node.table);
        let incarnation = |table: &MemberTable| {
            let entry = table.get(address);
            entry.map(|entry| entry.record.incarnation)
        };
        let before = incarnation(&table);
        let outcome = table.merge(record, node.clock.now());
        let was_restarted = before.is_some() && incarnation(&table) > before;
        let is_keeper =
            was_restarted && departure_keepers(&table, address).contains(&node.address());
        let departures = is_keeper.then(|| table.forgotten_departures(address));
        (outcome, departures.unwrap_or_default())
    };
    if !departures.is_empty() {
        log::info!(event = "departures-returned", member:% = address, known = departures.len(); "place");
        let node = node.clone();
        tokio::spawn(async move {
            let datagram = Datagram::Departures { departures };
            send(&node, address, &datagram, TrafficKind::Push).await;
        });
    }
    outcome
}

/// Merges a rumor into the state of this node. Returns `true` if it was new.
async fn merge(node: &NodeHandle, rumor: Rumor) -> bool {
    let now = node.clock.now();
    match rumor {
        Rumor::Member(record) => match merge_member(node, record) {
            MergeOutcome::Applied => true,
            MergeOutcome::Refuted => {
                let own = lock(&node.table).own().clone();
                log::info!(event = "refuted", sequence:% = own.sequence; "member");
                Box::pin(spread_own_record(node, own)).await;
                false
            }
            MergeOutcome::Full => {
                node.metrics.record_drop("member-table-full");
                false
            }
            _ => false,
        },
        Rumor::Suspect {
            fingerprint,
            node: target_node,
            loss,
        } => lock(&node.suspects).record_target_loss(fingerprint, target_node, loss, now),
        Rumor::Cleared { fingerprint } => lock(&node.suspects).clear(fingerprint),
        Rumor::Rollout(state) => task::merge(node, state),
    }
}

fn enqueue(node: &NodeState, rumors: &[Rumor]) {
    let members = lock(&node.table).len();
    let mut queue = lock(&node.rumors);
    for rumor in rumors {
        queue.push(rumor.clone(), members);
    }
}

/// Sends rumors to a few random nodes of the data centre.
async fn push(node: &NodeState, rumors: &[Rumor]) {
    for peer in fanout_peers(node) {
        send_rumors(node, peer, rumors).await;
    }
}

async fn send_rumors(node: &NodeState, to: NodeAddress, rumors: &[Rumor]) {
    // One rumor per datagram keeps this simple: a member record with its targets
    // is far smaller than a datagram, and a push rarely holds more than one.
    for rumor in rumors {
        let datagram = Datagram::Rumors {
            rumors: vec![rumor.clone()],
        };
        send(node, to, &datagram, TrafficKind::Push).await;
    }
}

/// Sends the rumors that originate in this data centre to the relays of the
/// other data centres, if this node is a relay. `from` is the node that sent
/// the rumors to this one; a rumor about a request counts as local if `from` is.
async fn forward_to_remote_relays(node: &NodeState, from: SocketAddr, rumors: Vec<Rumor>) {
    if !node.is_relay() {
        return;
    }
    let own_data_centre = &node.settings.data_centre;
    let is_local_sender = data_centre_of(node, from).as_ref() == Some(own_data_centre);
    let local: Vec<Rumor> = rumors
        .into_iter()
        .filter(|rumor| match rumor {
            Rumor::Member(record) => record.data_centre == *own_data_centre,
            Rumor::Suspect { .. } | Rumor::Cleared { .. } | Rumor::Rollout(_) => is_local_sender,
        })
        .collect();
    if local.is_empty() {
        return;
    }
    for relay in node.remote_relays().into_values().flatten() {
        send_rumors(node, relay, &local).await;
    }
}

fn data_centre_of(node: &NodeState, address: SocketAddr) -> Option<DataCentre> {
    let table = lock(&node.table);
    table
        .get(address)
        .map(|entry| entry.record.data_centre.clone())
}

/// Pushes this node's own record at once, instead of only with its next probes.
pub async fn spread_own_record(node: &NodeHandle, record: MemberRecord) {
    spread(node, Rumor::Member(record)).await;
}

/// Spreads a rumor that starts at this node: queues it for the next probes and
/// pushes it to a few random nodes and the relays of the data centre. A relay
/// also pushes it to the relays of the other data centres.
pub async fn spread(node: &NodeHandle, rumor: Rumor) {
    let rumors = vec![rumor];
    enqueue(node, &rumors);
    push(node, &rumors).await;
    let local_relays = {
        let table = lock(&node.table);
        relays(&table, &node.settings.data_centre)
    };
    for relay in local_relays
        .into_iter()
        .filter(|relay| *relay != node.address())
    {
        send_rumors(node, relay, &rumors).await;
    }
    forward_to_remote_relays(node, node.address(), rumors).await;
}
