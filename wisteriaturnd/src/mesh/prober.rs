//! Failure detection: probes the members of the data centre as in SWIM, and
//! starts anti-entropy when the member table of another node differs.

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

/// Number of members that are asked to probe a member that did not answer.
const INDIRECT_PROBE_PEERS: usize = 3;

/// Number of members that are pinged to check this node's own link, after a
/// failed probe and before suspects are declared dead.
const OWN_LINK_CHECK_PEERS: usize = 3;

/// Number of consecutive probes that must find a different digest before
/// anti-entropy starts. With fewer, whole tables would be exchanged while rumors
/// are still on their way.
const MISMATCHES_BEFORE_ANTI_ENTROPY: u32 = 3;

/// Minimum time between two starts of anti-entropy.
const MIN_ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(5);

/// Time after the start of a node during which the first mismatch starts
/// anti-entropy. When many nodes restart at once, a node misses the rumors about
/// those that came up before it could receive any.
const STARTUP_PERIOD: Duration = Duration::from_secs(30);

/// Minimum time between two starts of anti-entropy within [`STARTUP_PERIOD`].
const MIN_STARTUP_ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct ProberState {
    round: ProbeRound,
    started_at: Instant,
    mismatches: u32,
    last_anti_entropy: Option<Instant>,
    was_relay: Option<bool>,
    was_isolated: bool,
}

/// Probes one member per probe interval for as long as the node runs, and does
/// the periodic work of membership and of the connection pools.
pub async fn probe_task(node: NodeHandle) {
    let probe_interval = node.settings.tuning.probe_interval;
    let mut state = ProberState {
        round: ProbeRound::new(),
        started_at: node.clock.now(),
        mismatches: 0,
        last_anti_entropy: None,
        was_relay: None,
        was_isolated: false,
    };
    loop {
        let jitter = rand::rng().random_range(0.9..1.1);
        let sleep_start = node.clock.now();
        tokio::time::sleep(probe_interval.mul_f64(jitter)).await;
        let sleep_end = node.clock.now();
        // If this process was paused, answers may have been missed, so that
        // every other node appears unresponsive.
        let was_paused = sleep_end.duration_since(sleep_start) > probe_interval * 3;
        report_relay_role(&node, &mut state);
        report_isolation(&node, &mut state);
        let target = {
            let table = lock(&node.table);
            state.round.next(&table, &mut rand::rng())
        };
        if let Some(target) = target {
            probe(&node, &mut state, target, was_paused).await;
        }
        probe_remote_relay(&node, &mut state).await;
        if !was_paused {
            declare_overdue_suspects_dead(&node).await;
        }
        lock(&node.table).remove_expired_tombstones(node.clock.now());
        node.hop_pool.close_expired();
        node.target_pool.close_expired();
    }
}

/// Logs and exports whether this node is a relay, if that has changed.
fn report_relay_role(node: &NodeHandle, state: &mut ProberState) {
    let is_relay = node.is_relay();
    if state.was_relay != Some(is_relay) {
        state.was_relay = Some(is_relay);
        node.metrics.relay.set(i64::from(is_relay));
        log::info!(event = "relay", chosen = is_relay; "place");
    }
}

/// Logs when this node becomes isolated from all others and when it no longer is.
fn report_isolation(node: &NodeHandle, state: &mut ProberState) {
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

async fn probe(node: &NodeHandle, state: &mut ProberState, target: NodeAddress, was_paused: bool) {
    let wait = node.settings.tuning.probe_timeout;
    if let Some(status) = gossip::ping(node, target, wait).await {
        compare_digests(node, state, target, status.digest);
        return;
    }
    let helpers = {
        let table = lock(&node.table);
        let mut peers = random_peers(&table, INDIRECT_PROBE_PEERS + 1, &mut rand::rng());
        peers.retain(|peer| *peer != target);
        peers.truncate(INDIRECT_PROBE_PEERS);
        peers
    };
    let is_reached = gossip::ping_indirectly(node, &helpers, target, wait * 2).await;
    if is_reached || was_paused || !is_own_link_working(node, Some(target)).await {
        return;
    }
    set_state(node, target, MemberState::Suspect).await;
}

/// Returns `true` if any of a few random members other than `unreachable_peer`
/// answers a ping, or if there are no others.
///
/// Without this check, a node that is cut off would suspect the members of its
/// data centre one by one, declare them dead, and spread that once its link is
/// back. The share of lost members (`is_likely_cut_off`) reveals the cut only
/// once most of them are suspects.
async fn is_own_link_working(node: &NodeHandle, unreachable_peer: Option<NodeAddress>) -> bool {
    let mut peers = random_peers(
        &lock(&node.table),
        OWN_LINK_CHECK_PEERS + 1,
        &mut rand::rng(),
    );
    peers.retain(|peer| Some(*peer) != unreachable_peer);
    peers.truncate(OWN_LINK_CHECK_PEERS);
    if peers.is_empty() {
        // With only two members, a cut link cannot be distinguished from a dead
        // peer.
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

/// If this node is a relay, pings a random relay of another data centre and
/// compares digests, to detect rumors that were lost between them. A missing
/// answer does not make the peer a suspect, because the link between the regions
/// may be cut.
async fn probe_remote_relay(node: &NodeHandle, state: &mut ProberState) {
    if !node.is_relay() {
        return;
    }
    let remote_relays: Vec<NodeAddress> = node.remote_relays().into_values().flatten().collect();
    let Some(target) = remote_relays.choose(&mut rand::rng()).copied() else {
        return;
    };
    let wait = node.settings.tuning.probe_timeout;
    if let Some(status) = gossip::ping(node, target, wait).await {
        compare_digests(node, state, target, status.digest);
    }
}

/// Compares the digest of a peer's member table with this node's, and starts
/// anti-entropy with the peer after enough mismatches.
fn compare_digests(node: &NodeHandle, state: &mut ProberState, peer: NodeAddress, digest: u64) {
    if digest == lock(&node.table).digest() {
        state.mismatches = 0;
        return;
    }
    state.mismatches += 1;
    let now = node.clock.now();
    let is_starting = now.duration_since(state.started_at) < STARTUP_PERIOD;
    let (required_mismatches, min_interval) = if is_starting {
        (1, MIN_STARTUP_ANTI_ENTROPY_INTERVAL)
    } else {
        (MISMATCHES_BEFORE_ANTI_ENTROPY, MIN_ANTI_ENTROPY_INTERVAL)
    };
    let ran_recently = state
        .last_anti_entropy
        .is_some_and(|last| now.duration_since(last) < min_interval);
    if state.mismatches >= required_mismatches && !ran_recently {
        state.mismatches = 0;
        state.last_anti_entropy = Some(now);
        peer_client::spawn_anti_entropy(node, peer);
    }
}

async fn set_state(node: &NodeHandle, member: NodeAddress, state: MemberState) {
    let changed = lock(&node.table).set_state(member, state, node.clock.now());
    let Some(record) = changed else {
        return;
    };
    log::warn!(event = "member", member:% = member, state:? = state; "member");
    node.members_changed.notify_one();
    rumors::spread(node, Rumor::Member(record)).await;
}

/// Declares dead those suspects of this data centre that did not refute the
/// suspicion in time, unless this node's own link appears to be at fault.
async fn declare_overdue_suspects_dead(node: &NodeHandle) {
    let data_centre = &node.settings.data_centre;
    let timeout = node.settings.tuning.suspect_timeout;
    let overdue = {
        let table = lock(&node.table);
        if table.is_likely_cut_off(data_centre) {
            // This node's own link is the more likely fault, so nobody is
            // declared dead and calls are routed by what was last known.
            return;
        }
        table.overdue_suspects(data_centre, timeout, node.clock.now())
    };
    if overdue.is_empty() || !is_own_link_working(node, None).await {
        return;
    }
    for member in overdue {
        set_state(node, member, MemberState::Dead).await;
    }
}
