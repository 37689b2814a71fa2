//! Starting: a node serves only once its view is current.
//!
//! A VM has no disk, so a node starts with nothing. It is not ready until its
//! view is at least as new as what the log or two ready peers say, and as what
//! its peers last saw its own address hold: a node that came back with an
//! older view would break the promise that no proxy ever moves back.

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
use crate::mesh::directory;
use crate::mesh::news;
use crate::mesh::peer_client;
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeStage};

/// Ready peers that together are as good as the log.
const PEERS_NEEDED: usize = 2;

/// Peers asked in one round.
const PEERS_ASKED: usize = 4;

/// Rounds in which a node that is no relay leaves the log to others.
const ROUNDS_BEFORE_LOG: u32 = 3;

/// Pauses between rounds grow between these bounds, with jitter.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3));

/// What the peers said in one round.
#[derive(Debug, Default)]
struct JoinReport {
    ready_peers: usize,
    newest: ConfigVersion,
    newest_peer: Option<NodeAddress>,
    floor: ConfigVersion,
    incarnation: Incarnation,
}

/// Joins the mesh, gets a current view and makes the node ready.
pub async fn start_task(node: NodeHandle) {
    let mut backoff = BACKOFF.0;
    let mut floor = ConfigVersion(0);
    for round in 0.. {
        find_in_directory(&node).await;
        let report = ask_peers(&node).await;
        raise_incarnation(&node, report.incarnation);
        floor = floor.max(report.floor);
        if let Some(peer) = report.newest_peer
            && report.newest > lock(&node.store).version()
        {
            let _ = peer_client::pull(&node, peer).await;
        }
        if is_current(&node, &report, floor, round).await {
            break;
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        let pause = backoff.mul_f64(jitter);
        if node.documents.is_some() && node.source.newest_version.borrow().is_none() {
            documents::wait_for_source(&node, pause).await;
        } else {
            tokio::time::sleep(pause).await;
        }
        backoff = (backoff * 2).min(BACKOFF.1);
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
    news::spread_own(&node, record).await;
}

/// Looks for others in the directory while this node knows nobody.
async fn find_in_directory(node: &NodeHandle) {
    let Some(port) = &node.directory else {
        return;
    };
    if lock(&node.table).len() > 1 {
        return;
    }
    if let Err(error) = directory::find(node, port).await {
        log::warn!(event = "directory-read-failed", error:% = error; "member");
    }
}

async fn ask_peers(node: &NodeHandle) -> JoinReport {
    let mut report = JoinReport::default();
    let mut asked = BTreeSet::from([node.address()]);
    // A seed's answer names the other members. The rest of the load of a herd
    // goes to those, the own data centre first, and not to the few seeds.
    let mut seeds = node.settings.seeds.clone();
    seeds.shuffle(&mut rand::rng());
    for seed in seeds {
        if lock(&node.table).len() > 1 {
            break;
        }
        if asked.insert(seed) {
            ask_peer(node, seed, &mut report).await;
        }
    }
    for _ in 0..PEERS_ASKED {
        let Some(peer) = nearest_unasked(node, &asked) else {
            break;
        };
        if report.ready_peers >= PEERS_NEEDED {
            break;
        }
        asked.insert(peer);
        ask_peer(node, peer, &mut report).await;
    }
    report
}

fn nearest_unasked(node: &NodeHandle, asked: &BTreeSet<NodeAddress>) -> Option<NodeAddress> {
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
    }) = answer
    else {
        return;
    };
    report.floor = report.floor.max(seen_version);
    report.incarnation = report.incarnation.max(seen_incarnation);
    if is_ready {
        report.ready_peers += 1;
    }
    if status.version > report.newest {
        report.newest = status.version;
        report.newest_peer = Some(peer);
    }
    peer_client::merge_records(node, records);
    targets::restore_departures(node, &departures).await;
}

/// Peers may remember an earlier life with a clock that was ahead.
fn raise_incarnation(node: &NodeHandle, seen: Incarnation) {
    let mut table = lock(&node.table);
    if table.own().incarnation < seen {
        table.update_own(node.clock.now(), |own| {
            own.incarnation = Incarnation(seen.0 + 1);
        });
    }
}

async fn is_current(
    node: &NodeHandle,
    report: &JoinReport,
    floor: ConfigVersion,
    round: u32,
) -> bool {
    let held = lock(&node.store).version();
    if report.ready_peers >= PEERS_NEEDED {
        return held >= report.newest && held >= floor;
    }
    if node.documents.is_some() {
        return documents::is_current(node, floor);
    }
    // In a herd of restarts nobody is ready: seeds and relays ask the log, the
    // others wait a little for one of them before they ask it too.
    let is_alone = lock(&node.table).len() == 1;
    let is_first = node.settings.seeds.is_empty()
        || node.settings.seeds.contains(&node.address())
        || (!is_alone && node.is_relay());
    if !is_first && (round < ROUNDS_BEFORE_LOG || rand::rng().random_bool(0.8)) {
        return false;
    }
    match follow::read_to_end(node).await {
        Ok(end) => {
            let held = lock(&node.store).version();
            held >= end && held >= floor
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
    // The sender lives in the node, so this cannot fail while it is held.
    let _ = stage.wait_for(|stage| *stage >= NodeStage::Ready).await;
}

/// Keeps trying the seeds while this node knows nobody else, so that two
/// halves which started apart find each other.
pub async fn reseed_task(node: NodeHandle) {
    const INTERVAL: Duration = Duration::from_secs(5);
    loop {
        tokio::time::sleep(INTERVAL).await;
        let unknown: Vec<NodeAddress> = {
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
        for seed in unknown {
            let mut report = JoinReport::default();
            ask_peer(&node, seed, &mut report).await;
        }
    }
}
