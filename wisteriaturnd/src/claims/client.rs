//! Client that sends the claims of this node's gate to the keepers.
//!
//! One task per stream collects the items that arrive while a request is in
//! flight and sends them together, so that a keeper receives one message for many
//! calls. If a request fails, the task sends it again, to another keeper if the
//! member table by then assigns the stream to one. Sending a claim twice is safe,
//! because a claim by the execution that already holds the key is won again.

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

use crate::mesh::peer_client::PeerConnection;
use crate::metrics::TrafficKind;
use crate::node::NodeHandle;

/// Maximum number of queued items per stream.
const MAX_QUEUED_ITEMS: usize = 8192;

/// Delay before items that have no outcome yet are sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a release is retried. If it fails, the key stays claimed by an
/// execution that was never started. This delays the caller, because calls with the
/// key don't run until the claim expires, but doesn't break the at-most-once
/// guarantee.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(120);

#[derive(Debug)]
struct QueuedItem {
    item: ClaimItem,
    expires_at: Instant,
    reply: oneshot::Sender<ClaimOutcome>,
}

/// Queues claims and releases for the tasks that send them to the keepers.
#[derive(Debug)]
pub struct ClaimClient {
    queues: Vec<mpsc::Sender<QueuedItem>>,
}

/// The receiving ends of a client's queues, consumed by [`Self::start`].
#[derive(Debug)]
pub struct ClaimClientQueues {
    queues: Vec<mpsc::Receiver<QueuedItem>>,
}

impl ClaimClient {
    /// Returns a client and the queues that its tasks process.
    pub fn new() -> (Self, ClaimClientQueues) {
        let (senders, receivers) = (0..CLAIM_STREAM_COUNT)
            .map(|_| mpsc::channel(MAX_QUEUED_ITEMS))
            .unzip();
        (
            Self { queues: senders },
            ClaimClientQueues { queues: receivers },
        )
    }

    /// Claims a key for an execution. Returns [`ClaimOutcome::Unavailable`] if there
    /// is no outcome by `expires_at`.
    pub async fn claim(
        &self,
        key: KeyHash,
        holder: ClaimHolder,
        expires_at: Instant,
    ) -> ClaimOutcome {
        self.enqueue(key, ClaimItem::Claim { key, holder }, expires_at)
            .await
    }

    /// Releases a key whose execution will not be started. The release is sent in the
    /// background.
    pub fn release(&self, node: &NodeHandle, key: KeyHash, call: CallId) {
        let node = node.clone();
        let expires_at = node.clock.now() + RELEASE_TIMEOUT;
        tokio::spawn(async move {
            let item = ClaimItem::Release { key, call };
            node.claims.enqueue(key, item, expires_at).await;
        });
    }

    async fn enqueue(&self, key: KeyHash, item: ClaimItem, expires_at: Instant) -> ClaimOutcome {
        let (reply, outcome) = oneshot::channel();
        let queued = QueuedItem {
            item,
            expires_at,
            reply,
        };
        let queue = &self.queues[stream_for_key(key) as usize];
        if queue.try_send(queued).is_err() {
            return ClaimOutcome::Unavailable;
        }
        // The task drops expired items, but not while it waits for a keeper.
        match timeout_at(expires_at.into(), outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => ClaimOutcome::Unavailable,
        }
    }
}

impl ClaimClientQueues {
    /// Starts one task per stream.
    pub fn start(self, node: &NodeHandle) {
        for (stream, queue) in (0..).zip(self.queues) {
            tokio::spawn(send_task(node.clone(), stream, queue));
        }
    }
}

async fn send_task(node: NodeHandle, stream: u32, mut queue: mpsc::Receiver<QueuedItem>) {
    let mut connection: Option<(NodeAddress, PeerConnection)> = None;
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
        waiting.retain(|queued| queued.expires_at > now && !queued.reply.is_closed());
        if waiting.is_empty() {
            continue;
        }
        let request = ClaimRequest {
            stream,
            items: waiting.iter().map(|queued| queued.item.clone()).collect(),
        };
        let outcomes = send_request(&node, &mut connection, request).await;
        waiting = deliver_outcomes(waiting, outcomes);
        if !waiting.is_empty() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Delivers the known outcomes and returns the items that have to be sent again.
fn deliver_outcomes(
    waiting: Vec<QueuedItem>,
    outcomes: Option<Vec<ClaimOutcome>>,
) -> Vec<QueuedItem> {
    let outcomes = outcomes.unwrap_or_default();
    let mut remaining = Vec::new();
    for (index, queued) in waiting.into_iter().enumerate() {
        match outcomes.get(index) {
            Some(ClaimOutcome::Unavailable) | None => remaining.push(queued),
            Some(outcome) => {
                let _ = queued.reply.send(outcome.clone());
            }
        }
    }
    remaining
}

async fn send_request(
    node: &NodeHandle,
    connection: &mut Option<(NodeAddress, PeerConnection)>,
    request: ClaimRequest,
) -> Option<Vec<ClaimOutcome>> {
    let home = node.settings.log_data_centre.as_ref();
    let keeper = keeper(&lock(&node.table), request.stream, home)?;
    if keeper == node.address() {
        return Some(node.keeper.submit(node, request).await);
    }
    if connection.as_ref().is_none_or(|(peer, _)| *peer != keeper) {
        *connection = None;
        log::info!(event = "keeper", stream = request.stream, chosen:% = keeper; "place");
        let opened = PeerConnection::open(node, keeper).await.ok()?;
        *connection = Some((keeper, opened));
    }
    let (_, peer) = connection.as_mut()?;
    let request = PeerRequest::Claim(request);
    match peer.request(node, &request, TrafficKind::Claim).await {
        Ok(PeerAnswer::Claimed(outcomes)) => Some(outcomes),
        Ok(_) | Err(_) => {
            *connection = None;
            None
        }
    }
}
