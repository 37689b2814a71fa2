//! The claims that this node's gates ask for.
//!
//! One task for each stream gathers the items that arrive while a demand is
//! under way and sends them together, so a keeper sees one message for many
//! calls. The task goes to another keeper when one does not answer; asking
//! twice is harmless, since a run that holds its key wins again.

use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout_at;
use wisteriaturn::clock::lock;
use wisteriaturn::gate::claim::{
    CLAIM_STREAM_COUNT, ClaimHolder, ClaimItem, ClaimOutcome, ClaimRequest, MAX_BATCH_ITEMS,
    stream_for_key,
};
use wisteriaturn::ids::{CallId, KeyHash, NodeAddress};
use wisteriaturn::member::role::keeper;
use wisteriaturn::peer::message::{PeerAnswer, PeerRequest};

use crate::mesh::peer_client::PeerLink;
use crate::metrics::TrafficKind;
use crate::node::NodeHandle;

/// Items that may wait for one stream.
const QUEUE_LIMIT: usize = 8192;

/// Pause after a keeper failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a release is tried. A key that stays claimed by a run that was
/// never started delays its caller and breaks no promise.
const RELEASE_TIME: Duration = Duration::from_secs(120);

#[derive(Debug)]
struct QueuedItem {
    item: ClaimItem,
    until: Instant,
    reply: oneshot::Sender<ClaimOutcome>,
}

/// Takes claims and releases; the tasks behind it send them to keepers.
#[derive(Debug)]
pub struct ClaimClient {
    queues: Vec<mpsc::Sender<QueuedItem>>,
}

/// The other ends of the desk's queues, to be started once.
#[derive(Debug)]
pub struct ClaimClientQueues {
    queues: Vec<mpsc::Receiver<QueuedItem>>,
}

impl ClaimClient {
    /// Returns a desk and its queues.
    pub fn new() -> (Self, ClaimClientQueues) {
        let (senders, receivers) = (0..CLAIM_STREAM_COUNT)
            .map(|_| mpsc::channel(QUEUE_LIMIT))
            .unzip();
        (
            Self { queues: senders },
            ClaimClientQueues { queues: receivers },
        )
    }

    /// Claims a key for a run, waiting until `until` at most.
    pub async fn claim(&self, key: KeyHash, holder: ClaimHolder, until: Instant) -> ClaimOutcome {
        self.put(key, ClaimItem::Claim { key, holder }, until).await
    }

    /// Frees a key whose run will not be started.
    pub fn release(&self, node: &NodeHandle, key: KeyHash, run: CallId) {
        let node = node.clone();
        let until = node.clock.now() + RELEASE_TIME;
        tokio::spawn(async move {
            let item = ClaimItem::Release { key, run };
            node.claims.put(key, item, until).await;
        });
    }

    async fn put(&self, key: KeyHash, item: ClaimItem, until: Instant) -> ClaimOutcome {
        let (reply, verdict) = oneshot::channel();
        let queued = QueuedItem { item, until, reply };
        let queue = &self.queues[stream_for_key(key) as usize];
        if queue.try_send(queued).is_err() {
            return ClaimOutcome::Unavailable;
        }
        // The task drops an item whose time is over, but it may be waiting for
        // a keeper just then.
        match timeout_at(until.into(), verdict).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => ClaimOutcome::Unavailable,
        }
    }
}

impl ClaimClientQueues {
    /// Starts a task for each stream.
    pub fn start(self, node: &NodeHandle) {
        for (stream, queue) in (0..).zip(self.queues) {
            tokio::spawn(demand_task(node.clone(), stream, queue));
        }
    }
}

async fn demand_task(node: NodeHandle, stream: u32, mut queue: mpsc::Receiver<QueuedItem>) {
    let mut link: Option<(NodeAddress, PeerLink)> = None;
    let mut waiting: Vec<QueuedItem> = Vec::new();
    loop {
        if waiting.is_empty() && queue.recv_many(&mut waiting, MAX_BATCH_ITEMS).await == 0 {
            return;
        }
        while waiting.len() < MAX_BATCH_ITEMS
            && let Ok(item) = queue.try_recv()
        {
            waiting.push(item);
        }
        let now = node.clock.now();
        waiting.retain(|queued| queued.until > now && !queued.reply.is_closed());
        if waiting.is_empty() {
            continue;
        }
        let demand = ClaimRequest {
            stream,
            items: waiting.iter().map(|queued| queued.item.clone()).collect(),
        };
        let verdicts = send_demand(&node, &mut link, demand).await;
        waiting = settle(waiting, verdicts);
        if !waiting.is_empty() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Answers the items that have a verdict and returns the others.
fn settle(waiting: Vec<QueuedItem>, verdicts: Option<Vec<ClaimOutcome>>) -> Vec<QueuedItem> {
    let verdicts = verdicts.unwrap_or_default();
    let mut left = Vec::new();
    for (index, queued) in waiting.into_iter().enumerate() {
        match verdicts.get(index) {
            Some(ClaimOutcome::Unavailable) | None => left.push(queued),
            Some(verdict) => {
                let _ = queued.reply.send(verdict.clone());
            }
        }
    }
    left
}

async fn send_demand(
    node: &NodeHandle,
    link: &mut Option<(NodeAddress, PeerLink)>,
    demand: ClaimRequest,
) -> Option<Vec<ClaimOutcome>> {
    let home = node.settings.log_data_centre.as_ref();
    let keeper = keeper(&lock(&node.table), demand.stream, home)?;
    if keeper == node.address() {
        return Some(node.keeper.submit(node, demand).await);
    }
    if link.as_ref().is_none_or(|(peer, _)| *peer != keeper) {
        *link = None;
        log::info!(event = "keeper", stream = demand.stream, chosen:% = keeper; "place");
        let opened = PeerLink::open(node, keeper).await.ok()?;
        *link = Some((keeper, opened));
    }
    let (_, open) = link.as_mut()?;
    let request = PeerRequest::Claim(demand);
    match open.ask(node, &request, TrafficKind::Claim).await {
        Ok(PeerAnswer::Claimed(verdicts)) => Some(verdicts),
        Ok(_) | Err(_) => {
            *link = None;
            None
        }
    }
}
