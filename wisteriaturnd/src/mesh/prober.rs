//! Probing the members of the data centre, and comparing with the others.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::seq::IndexedRandom;
use wisteriaturn::clock::lock;
use wisteriaturn::ids::NodeAddress;
use wisteriaturn::member::probe::{ProbeRound, random_peers};
use wisteriaturn::member::record::MemberState;
use wisteriaturn::member::rumor::Rumor;

use crate::mesh::gossip;
use crate::mesh::peer_client;
use crate::mesh::rumors;
use crate::node::NodeHandle;

/// Members asked to probe one that did not answer.
const HELPERS: usize = 3;

/// Members asked when a probe failed, to see whether the own link works.
const SELF_CHECK_PEERS: usize = 3;

/// Probes in a row that found other members before they are compared. Fewer
/// would compare whole tables while news is still on its way.
const MISMATCHES_TO_COMPARE: u32 = 3;

/// Least time between two comparisons.
const COMPARE_INTERVAL: Duration = Duration::from_secs(5);

/// How long a node counts as young. In a herd of restarts it missed the news of
/// all that came up before it listened, and compares at the first mismatch.
const YOUNG_TIME: Duration = Duration::from_secs(30);

/// Least time between two comparisons of a young node.
const YOUNG_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct ProberState {
    round: ProbeRound,
    started: Instant,
    mismatches: u32,
    compared: Option<Instant>,
    was_relay: Option<bool>,
    was_isolated: bool,
}

/// Probes one member after another for as long as the node runs.
pub async fn probe_task(node: NodeHandle) {
    let interval = node.settings.tuning.probe_interval;
    let mut state = ProberState {
        round: ProbeRound::new(),
        started: node.clock.now(),
        mismatches: 0,
        compared: None,
        was_relay: None,
        was_isolated: false,
    };
    loop {
        let jitter = rand::rng().random_range(0.9..1.1);
        let slept = node.clock.now();
        tokio::time::sleep(interval.mul_f64(jitter)).await;
        let woke = node.clock.now();
        // After a pause of this process every other node looks late.
        let was_paused = woke.duration_since(slept) > interval * 3;
        note_role(&node, &mut state);
        note_link(&node, &mut state);
        let target = {
            let table = lock(&node.table);
            state.round.next(&table, &mut rand::rng())
        };
        if let Some(target) = target {
            probe(&node, &mut state, target, was_paused).await;
        }
        probe_far(&node, &mut state).await;
        if !was_paused {
            bury_overdue(&node).await;
        }
        lock(&node.table).remove_expired_tombstones(node.clock.now());
        node.hop_pool.close_expired();
        node.target_pool.close_expired();
    }
}

fn note_role(node: &NodeHandle, state: &mut ProberState) {
    let is_relay = node.is_relay();
    if state.was_relay != Some(is_relay) {
        state.was_relay = Some(is_relay);
        node.metrics.relay.set(i64::from(is_relay));
        log::info!(event = "relay", chosen = is_relay; "place");
    }
}

fn note_link(node: &NodeHandle, state: &mut ProberState) {
    let is_isolated = node.is_isolated();
    if is_isolated != state.was_isolated {
        state.was_isolated = is_isolated;
        let event = if is_isolated {
            "others-lost"
        } else {
            "others-regained"
        };
        log::warn!(event = event; "member");
    }
}

async fn probe(node: &NodeHandle, state: &mut ProberState, target: NodeAddress, is_unsure: bool) {
    let wait = node.settings.tuning.probe_timeout;
    if let Some(status) = gossip::ping(node, target, wait).await {
        compare_digest(node, state, target, status.digest);
        return;
    }
    let helpers = {
        let table = lock(&node.table);
        let mut peers = random_peers(&table, HELPERS + 1, &mut rand::rng());
        peers.retain(|peer| *peer != target);
        peers.truncate(HELPERS);
        peers
    };
    let is_reached = gossip::ping_indirectly(node, &helpers, target, wait * 2).await;
    if is_reached || is_unsure || !own_link_works(node, Some(target)).await {
        return;
    }
    set_state(node, target, MemberState::Suspect).await;
}

/// Tells whether any of a few other members answers. A node that is cut off
/// would otherwise suspect and bury its data centre one by one, and spread that
/// when its link is back; the share of suspects (`is_likely_cut_off`) would be seen
/// only after most of them.
async fn own_link_works(node: &NodeHandle, except: Option<NodeAddress>) -> bool {
    let mut peers = random_peers(&lock(&node.table), SELF_CHECK_PEERS + 1, &mut rand::rng());
    peers.retain(|peer| Some(*peer) != except);
    peers.truncate(SELF_CHECK_PEERS);
    if peers.is_empty() {
        // With two members nothing tells the two cases apart.
        return true;
    }
    let wait = node.settings.tuning.probe_timeout;
    let mut pings = tokio::task::JoinSet::new();
    for peer in peers {
        let node = node.clone();
        pings.spawn(async move { gossip::ping(&node, peer, wait).await.is_some() });
    }
    while let Some(answered) = pings.join_next().await {
        if answered.unwrap_or_default() {
            return true;
        }
    }
    false
}

/// A relay also probes a relay of some other data centre, to find what a lost
/// push left out. A failure there says nothing about the node: the link
/// between regions may be cut.
async fn probe_far(node: &NodeHandle, state: &mut ProberState) {
    if !node.is_relay() {
        return;
    }
    let far: Vec<NodeAddress> = node.remote_relays().into_values().flatten().collect();
    let Some(target) = far.choose(&mut rand::rng()).copied() else {
        return;
    };
    let wait = node.settings.tuning.probe_timeout;
    if let Some(status) = gossip::ping(node, target, wait).await {
        compare_digest(node, state, target, status.digest);
    }
}

fn compare_digest(node: &NodeHandle, state: &mut ProberState, peer: NodeAddress, digest: u64) {
    if digest == lock(&node.table).digest() {
        state.mismatches = 0;
        return;
    }
    state.mismatches += 1;
    let now = node.clock.now();
    let is_young = now.duration_since(state.started) < YOUNG_TIME;
    let (needed, interval) = if is_young {
        (1, YOUNG_INTERVAL)
    } else {
        (MISMATCHES_TO_COMPARE, COMPARE_INTERVAL)
    };
    let is_recent = state
        .compared
        .is_some_and(|when| now.duration_since(when) < interval);
    if state.mismatches >= needed && !is_recent {
        state.mismatches = 0;
        state.compared = Some(now);
        peer_client::spawn_anti_entropy(node, peer);
    }
}

async fn set_state(node: &NodeHandle, member: NodeAddress, standing: MemberState) {
    let changed = lock(&node.table).set_state(member, standing, node.clock.now());
    let Some(record) = changed else {
        return;
    };
    log::warn!(event = "member", member:% = member, state:? = standing; "member");
    node.members_changed.notify_one();
    rumors::spread(node, Rumor::Member(record)).await;
}

async fn bury_overdue(node: &NodeHandle) {
    let place = &node.settings.data_centre;
    let timeout = node.settings.tuning.suspect_timeout;
    let overdue = {
        let table = lock(&node.table);
        if table.is_likely_cut_off(place) {
            // More likely this node's own link: keep routing by what is seen.
            return;
        }
        table.overdue_suspects(place, timeout, node.clock.now())
    };
    if overdue.is_empty() || !own_link_works(node, None).await {
        return;
    }
    for member in overdue {
        set_state(node, member, MemberState::Dead).await;
    }
}
