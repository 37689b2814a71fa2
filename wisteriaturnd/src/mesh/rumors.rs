//! News: small facts about members and requests, passed on while they are new.
//!
//! News goes on when it told this node something new, to a few random nodes
//! of the data centre; a relay also passes it to the relays of the other data
//! centres, and nobody else sends news across. So the bytes on billed links
//! grow with the number of data centres and not with the number of nodes.

use std::net::SocketAddr;

use wisteriaturn::clock::lock;
use wisteriaturn::ids::{DataCentre, NodeAddress};
use wisteriaturn::member::record::MemberRecord;
use wisteriaturn::member::role::relays;
use wisteriaturn::member::rumor::Rumor;
use wisteriaturn::member::table::MergeOutcome;
use wisteriaturn::peer::message::Datagram;

use crate::mesh::gossip::{fanout_peers, send};
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeState};

/// Takes news that came from another node, and passes on what was new.
pub async fn receive(node: &NodeHandle, from: SocketAddr, rumors: Vec<Rumor>, is_pushed: bool) {
    let mut news = Vec::new();
    let mut has_members = false;
    for rumor in rumors {
        let is_member = matches!(rumor, Rumor::Member(_));
        if learn(node, rumor.clone()).await {
            has_members |= is_member;
            news.push(rumor);
        }
    }
    if has_members {
        node.members_changed.notify_one();
    }
    if news.is_empty() {
        return;
    }
    queue(node, &news);
    if is_pushed {
        push_news(node, &news).await;
    }
    relay_news(node, from, news).await;
}

/// Takes one piece of news and returns whether it was new.
async fn learn(node: &NodeHandle, rumor: Rumor) -> bool {
    let now = node.clock.now();
    match rumor {
        Rumor::Member(record) => {
            let outcome = lock(&node.table).merge(record, now);
            match outcome {
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
            }
        }
        Rumor::Suspect {
            fingerprint,
            node: place,
            loss,
        } => lock(&node.suspects).record_target_loss(fingerprint, place, loss, now),
        Rumor::Cleared { fingerprint } => lock(&node.suspects).clear(fingerprint),
    }
}

fn queue(node: &NodeState, news: &[Rumor]) {
    let members = lock(&node.table).len();
    let mut rumors = lock(&node.rumors);
    for rumor in news {
        rumors.push(rumor.clone(), members);
    }
}

/// Sends news, cut into datagrams, to a few nodes of the data centre.
async fn push_news(node: &NodeState, news: &[Rumor]) {
    for peer in fanout_peers(node) {
        send_news(node, peer, news).await;
    }
}

async fn send_news(node: &NodeState, to: NodeAddress, news: &[Rumor]) {
    // A member record with its targets stays far below a datagram, and pushes
    // rarely hold more than one, so one rumor a datagram keeps this simple.
    for rumor in news {
        let datagram = Datagram::Rumors {
            rumors: vec![rumor.clone()],
        };
        send(node, to, &datagram, TrafficKind::Push).await;
    }
}

/// Passes news of this data centre to the relays of the others.
async fn relay_news(node: &NodeState, from: SocketAddr, news: Vec<Rumor>) {
    if !node.is_relay() {
        return;
    }
    let own = &node.settings.data_centre;
    let is_near_sender = place_of(node, from).as_ref() == Some(own);
    let near: Vec<Rumor> = news
        .into_iter()
        .filter(|rumor| match rumor {
            Rumor::Member(record) => record.data_centre == *own,
            Rumor::Suspect { .. } | Rumor::Cleared { .. } => is_near_sender,
        })
        .collect();
    if near.is_empty() {
        return;
    }
    for relay in node.remote_relays().into_values().flatten() {
        send_news(node, relay, &near).await;
    }
}

fn place_of(node: &NodeState, address: SocketAddr) -> Option<DataCentre> {
    let table = lock(&node.table);
    table
        .get(address)
        .map(|entry| entry.record.data_centre.clone())
}

/// Spreads the own record as urgent news.
pub async fn spread_own_record(node: &NodeHandle, record: MemberRecord) {
    spread(node, Rumor::Member(record)).await;
}

/// Spreads a piece of news that this node found out itself.
pub async fn spread(node: &NodeHandle, rumor: Rumor) {
    let news = vec![rumor];
    queue(node, &news);
    push_news(node, &news).await;
    let near = {
        let table = lock(&node.table);
        relays(&table, &node.settings.data_centre)
    };
    for relay in near.into_iter().filter(|relay| *relay != node.address()) {
        send_news(node, relay, &news).await;
    }
    relay_news(node, node.address(), news).await;
}
