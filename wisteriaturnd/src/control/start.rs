//! Starts a node: it serves only once its view is current.
//!
//! A VM has no disk, so a node starts without any state. It becomes ready when
//! its view is at least as new as that of two ready peers, or of the log or the
//! document source, and at least as new as the one that its peers last saw at its
//! address. A restarted node with an older view would break the guarantee that no
//! node ever goes back to an older version.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};
use wisteriaturn::clock::lock;
use wisteriaturn::ids::{ConfigVersion, Incarnation, NodeAddress};
use wisteriaturn::peer::message::{PeerAnswer, PeerRequest};

use crate::control::documents;
use crate::control::follow;
use crate::gate::targets;
use crate::mesh::peer_client;
use crate::mesh::rumors;
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeStage};
use crate::rollout::task;

/// Number of ready peers whose versions suffice in place of the log or the
/// document source.
const MIN_READY_PEERS: usize = 2;

/// Maximum number of peers, in addition to the seeds, to ask in one round.
const MAX_PEERS_PER_ROUND: usize = 4;

/// Number of rounds in which a node that is neither a seed nor a relay does not read the
/// log, since the seeds and relays may serve it the configuration.
const ROUNDS_BEFORE_LOG: u32 = 3;

/// Minimum and maximum pause between two rounds, before jitter; each round
/// doubles it.
const ROUND_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3));

/// Maximum wait for the directory in each round before the seeds are asked.
const DIRECTORY_WAIT: Duration = Duration::from_millis(250);

/// The combined answers of the peers in one round.
#[derive(Debug, Default)]
struct JoinReport {
    /// Number of peers that are ready.
    ready_peers: usize,
    /// Newest version that a peer holds.
    newest_version: ConfigVersion,
    /// The peer that holds `newest_version`.
    newest_peer: Option<NodeAddress>,
    /// Newest version that a peer has seen a node with this address hold.
    min_version: ConfigVersion,
    /// Highest incarnation that a peer has seen of a node with this address.
    seen_incarnation: Incarnation,
}

/// Joins the mesh, obtains a current view and makes the node ready.
pub async fn start_task(node: NodeHandle) {
    let mut backoff = ROUND_BACKOFF.0;
    let mut min_version = ConfigVersion(0);
    for round in 0.. {
        wait_for_directory(&node).await;
        let report = ask_peers(&node).await;
        raise_incarnation(&node, report.seen_incarnation);
        if report.ready_peers >= MIN_READY_PEERS {
            // These have returned the departures that this node announced to them before.
            node.departures.is_restored.send_replace(true);
        }
        min_version = min_version.max(report.min_version);
        if let Some(peer) = report.newest_peer
            && report.newest_version > lock(&node.store).version()
        {
            let _ = peer_client::pull(&node, peer).await;
        }
        if is_current(&node, &report, min_version, round).await {
            break;
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        let pause = backoff.mul_f64(jitter);
        if node.documents.is_some() && node.source.newest_version.borrow().is_none() {
            documents::wait_for_source(&node, pause).await;
        } else {
            tokio::time::sleep(pause).await;
        }
        backoff = (backoff * 2).min(ROUND_BACKOFF.1);
    }
    node.was_ready.store(true, Ordering::Release);
    node.stage.send_if_modified(|stage| {
        let is_starting = *stage == NodeStage::Starting;
        if is_starting {
            *stage = NodeStage::Ready;
        }
        is_starting
    });
    node.metrics.ready.set(1);
    let version = lock(&node.store).version();
    log::info!(event = "ready", version:% = version; "node");
    let record = {
        let mut table = lock(&node.table);
        table.update_own(node.clock.now(), |own| own.is_ready = true)
    };
    node.publish_view();
    rumors::spread_own_record(&node, record).await;
}

/// Waits for the first answer of the directory if this node does not know any other
/// member.
async fn wait_for_directory(node: &NodeHandle) {
    if node.directory.is_none() || lock(&node.table).len() > 1 {
        return;
    }
    let mut is_restored = node.departures.is_restored.subscribe();
    let waiting = is_restored.wait_for(|is_restored| *is_restored);
    let _ = tokio::time::timeout(DIRECTORY_WAIT, waiting).await;
}

/// Asks seeds until one of them is ready, then members until enough of the
/// asked peers are ready.
async fn ask_peers(node: &NodeHandle) -> JoinReport {
    let mut report = JoinReport::default();
    let mut asked = BTreeSet::from([node.address()]);
    // A seed's answer names the other members. When many nodes restart at once,
    // the remaining requests go to these members, those of the same data centre
    // first, and not to the few seeds. A seed that is not ready has just been
    // restarted itself: it knows few members, and not which targets have left.
    let mut seeds = node.settings.seeds.clone();
    seeds.shuffle(&mut rand::rng());
    for seed in seeds {
        if report.ready_peers > 0 {
            break;
        }
        if asked.insert(seed) {
            ask_peer(node, seed, &mut report).await;
        }
    }
    for _ in 0..MAX_PEERS_PER_ROUND {
        let Some(peer) = choose_unasked_peer(node, &asked) else {
            break;
        };
        if report.ready_peers >= MIN_READY_PEERS {
            break;
        }
        asked.insert(peer);
        ask_peer(node, peer, &mut report).await;
    }
    report
}

/// Returns a random live member that has not been asked, preferably one in the
/// same data centre.
fn choose_unasked_peer(node: &NodeHandle, asked: &BTreeSet<NodeAddress>) -> Option<NodeAddress> {
    let table = lock(&node.table);
    let mut near = Vec::new();
    let mut far = Vec::new();
    for entry in table.iter() {
        let record = &entry.record;
        if !record.is_live() || asked.contains(&record.address) {
            continue;
        }
        if record.data_centre == node.settings.data_centre {
            near.push(record.address);
        } else {
            far.push(record.address);
        }
    }
    let mut rng = rand::rng();
    near.choose(&mut rng)
        .or_else(|| far.choose(&mut rng))
        .copied()
}

/// Sends a join request to a peer and adds its answer to the report. A peer that
/// does not answer is ignored.
async fn ask_peer(node: &NodeHandle, peer: NodeAddress, report: &mut JoinReport) {
    let request = {
        let table = lock(&node.table);
        PeerRequest::Join {
            record: table.own().clone(),
            digests: table.digests().clone(),
        }
    };
    let answer = peer_client::request(node, peer, &request, TrafficKind::Transfer).await;
    let Ok(PeerAnswer::Joined {
        records,
        status,
        is_ready,
        seen_version,
        seen_incarnation,
        departures,
        rollouts,
    }) = answer
    else {
        return;
    };
    report.min_version = report.min_version.max(seen_version);
    report.seen_incarnation = report.seen_incarnation.max(seen_incarnation);
    if is_ready {
        report.ready_peers += 1;
    }
    if status.version > report.newest_version {
        report.newest_version = status.version;
        report.newest_peer = Some(peer);
    }
    peer_client::merge_records(node, records);
    targets::restore_departures(node, &departures).await;
    for state in rollouts {
        task::merge(node, state);
    }
}

/// Raises the incarnation of this node above the one that peers have seen, which
/// may be higher if the clock was ahead in an earlier run of the node.
fn raise_incarnation(node: &NodeHandle, seen: Incarnation) {
    let mut table = lock(&node.table);
    if table.own().incarnation < seen {
        table.update_own(node.clock.now(), |own| {
            own.incarnation = Incarnation(seen.0 + 1);
        });
    }
}

/// Returns `true` if the view of this node is current, reading the log if the
/// peers and the document source cannot tell.
async fn is_current(
    node: &NodeHandle,
    report: &JoinReport,
    min_version: ConfigVersion,
    round: u32,
) -> bool {
    let held = lock(&node.store).version();
    // Version 0 is the empty configuration of a folded log, which is one in force, but no
    // document has it.
    let has_configuration = node.documents.is_none() || held > ConfigVersion(0);
    if report.ready_peers >= MIN_READY_PEERS && has_configuration {
        return held >= report.newest_version && held >= min_version;
    }
    if node.documents.is_some() {
        return documents::is_current(node, min_version);
    }
    // When all nodes restart at once, no peer is ready. Seeds and relays then
    // read the log at once; the others first wait some rounds for one of these,
    // and after that read the log in a random fifth of the rounds.
    let is_alone = lock(&node.table).len() == 1;
    let reads_log_at_once = node.settings.seeds.is_empty()
        || node.settings.seeds.contains(&node.address())
        || (!is_alone && node.is_relay());
    if !reads_log_at_once && (round < ROUNDS_BEFORE_LOG || rand::rng().random_bool(0.8)) {
        return false;
    }
    match follow::read_to_end(node).await {
        Ok(end) => {
            let held = lock(&node.store).version();
            held >= end && held >= min_version
        }
        Err(error) => {
            log::warn!(event = "not-ready", error:% = error; "node");
            false
        }
    }
}

/// Waits until the node is ready.
pub async fn wait_ready(node: &NodeHandle) {
    let mut stage = node.stage.subscribe();
    // The node owns the sender, so the wait cannot fail.
    let _ = stage.wait_for(|stage| *stage >= NodeStage::Ready).await;
}

/// Periodically asks the seeds that are not live members of this node's table, so
/// that two parts of a mesh that started separately find each other. Never
/// returns.
pub async fn reseed_task(node: NodeHandle) {
    const RESEED_INTERVAL: Duration = Duration::from_secs(5);
    loop {
        tokio::time::sleep(RESEED_INTERVAL).await;
        let unknown_seeds: Vec<NodeAddress> = {
            let table = lock(&node.table);
            let is_unknown =
                |seed: &NodeAddress| table.get(*seed).is_none_or(|entry| !entry.record.is_live());
            node.settings
                .seeds
                .iter()
                .copied()
                .filter(is_unknown)
                .collect()
        };
        for seed in unknown_seeds {
            let mut report = JoinReport::default();
            ask_peer(&node, seed, &mut report).await;
        }
    }
}
