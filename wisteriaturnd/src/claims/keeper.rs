//! The keeper of claim streams, which appends the claims of many gates as one
//! record.
//!
//! The log accepts several hundred appends per second in total, far fewer than
//! there are calls. So a keeper collects requests for a short time, and while an
//! append is in flight, and appends them together. Two keepers of one stream do no
//! harm, because the order of records in the log decides: a keeper replies only
//! after it has applied all records of the stream up to its own.

use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};
use wisteriaturn::error::LogError;
use wisteriaturn::gate::claim::{
    CLAIM_STREAM_COUNT, ClaimBatch, ClaimItem, ClaimOutcome, ClaimRequest, ClaimTable,
    MAX_BATCH_ITEMS, MAX_KEYS_PER_STREAM, stream_name,
};
use wisteriaturn::ids::{CallId, Offset};
use wisteriaturn::log_port::ReadRequest;

use crate::node::NodeHandle;

/// Maximum number of queued requests per stream.
const MAX_QUEUED_REQUESTS: usize = 4096;

/// How long a batch is retried before its claims are reported as unavailable, so
/// that the gates send them again.
const BATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before a failed append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of records per read of a stream.
const MAX_READ_RECORDS: usize = 512;

/// How long keys are kept beyond their expiry, because the clocks of writers may
/// differ.
const CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Minimum interval between two removals of expired keys.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct QueuedRequest {
    items: Vec<ClaimItem>,
    reply: oneshot::Sender<Vec<ClaimOutcome>>,
}

/// Queues claim requests for the tasks that append them to the log.
#[derive(Debug)]
pub struct ClaimKeeper {
    queues: Vec<mpsc::Sender<QueuedRequest>>,
}

/// The receiving ends of a keeper's queues, consumed by [`Self::start`].
#[derive(Debug)]
pub struct ClaimKeeperQueues {
    queues: Vec<mpsc::Receiver<QueuedRequest>>,
}

impl ClaimKeeper {
    /// Returns a keeper and the queues that its tasks process.
    pub fn new() -> (Self, ClaimKeeperQueues) {
        let (senders, receivers) = (0..CLAIM_STREAM_COUNT)
            .map(|_| mpsc::channel(MAX_QUEUED_REQUESTS))
            .unzip();
        (
            Self { queues: senders },
            ClaimKeeperQueues { queues: receivers },
        )
    }

    /// Appends the items of a request to the log and returns their outcomes.
    pub async fn submit(&self, node: &NodeHandle, request: ClaimRequest) -> Vec<ClaimOutcome> {
        let count = request.items.len();
        let unavailable = || vec![ClaimOutcome::Unavailable; count];
        let Some(queue) = self.queues.get(request.stream as usize) else {
            return unavailable();
        };
        let (reply, outcomes) = oneshot::channel();
        let queued = QueuedRequest {
            items: request.items,
            reply,
        };
        if queue.try_send(queued).is_err() {
            node.metrics.record_drop("claim-queue-full");
            return unavailable();
        }
        outcomes.await.unwrap_or_else(|_| unavailable())
    }
}

impl ClaimKeeperQueues {
    /// Starts one task per stream.
    pub fn start(self, node: &NodeHandle) {
        for (stream, queue) in (0..).zip(self.queues) {
            let keeper = StreamKeeper {
                node: node.clone(),
                name: stream_name(stream),
                table: None,
                last_expiry: None,
            };
            tokio::spawn(keeper.run(queue));
        }
    }
}

/// The state of the task for one stream.
struct StreamKeeper {
    node: NodeHandle,
    name: String,
    /// The claims in the stream, or `None` before the stream is first read.
    table: Option<ClaimTable>,
    /// When expired keys were last removed.
    last_expiry: Option<Instant>,
}

impl StreamKeeper {
    async fn run(mut self, mut queue: mpsc::Receiver<QueuedRequest>) {
        let interval = self.node.settings.tuning.claim_interval;
        let mut last_batch = None;
        while let Some(first) = queue.recv().await {
            if let Some(last_batch) = last_batch {
                let elapsed = self.node.clock.now().duration_since(last_batch);
                tokio::time::sleep(interval.saturating_sub(elapsed)).await;
            }
            let requests = collect_batch(first, &mut queue);
            last_batch = Some(self.node.clock.now());
            self.process_batch(requests).await;
        }
    }

    async fn process_batch(&mut self, requests: Vec<QueuedRequest>) {
        let items: Vec<ClaimItem> = requests
            .iter()
            .flat_map(|request| request.items.iter().cloned())
            .collect();
        let mut outcomes = match self.append_batch(items).await {
            Ok(outcomes) => outcomes.into_iter(),
            Err(error) => {
                log::warn!(event = "claims-failed", stream = self.name, error:% = error; "claim");
                // The records that were applied before the failure stay valid.
                Vec::new().into_iter()
            }
        };
        for request in requests {
            let count = request.items.len();
            let mut own_outcomes: Vec<ClaimOutcome> = outcomes.by_ref().take(count).collect();
            own_outcomes.resize(count, ClaimOutcome::Unavailable);
            let _ = request.reply.send(own_outcomes);
        }
    }

    /// Appends a batch and applies the stream up to its record, which decides the
    /// outcomes of its items.
    async fn append_batch(&mut self, items: Vec<ClaimItem>) -> Result<Vec<ClaimOutcome>, LogError> {
        self.catch_up().await?;
        self.check_key_limit(items.len())?;
        self.remove_expired();
        let batch = ClaimBatch {
            id: CallId(rand::random()),
            wall_ms: self.node.clock.unix_millis(),
            lifetime_ms: self.node.settings.tuning.key_lifetime.as_millis() as u64,
            items,
        };
        let record = batch
            .encode()
            .map_err(|error| LogError::Refused(error.to_string()))?;
        let give_up_at = self.node.clock.now() + BATCH_TIMEOUT;
        loop {
            match self.node.log.append(&self.name, record.clone()).await {
                Ok(offset) => return self.apply_up_to(offset, &record).await,
                Err(error) if self.node.clock.now() >= give_up_at => return Err(error),
                Err(LogError::Indeterminate(_)) => {
                    if let Ok(Some(outcomes)) = self.find_appended(batch.id).await {
                        return Ok(outcomes);
                    }
                }
                Err(_) => {}
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Removes expired keys at most once per [`EXPIRY_INTERVAL`]. Checking all keys
    /// on every batch would cost more than keeping the expired ones for longer.
    fn remove_expired(&mut self) {
        let now = self.node.clock.now();
        let is_due = self
            .last_expiry
            .is_none_or(|when| now.duration_since(when) >= EXPIRY_INTERVAL);
        if is_due {
            self.last_expiry = Some(now);
            let now_ms = self.node.clock.unix_millis();
            self.table().remove_expired(now_ms, CLOCK_SKEW);
        }
    }

    /// Reads the whole stream, unless this was done before.
    async fn catch_up(&mut self) -> Result<(), LogError> {
        if self.table.is_some() {
            return Ok(());
        }
        self.table = Some(ClaimTable::starting_at(Offset(0)));
        let read = self.read_to_end(None).await;
        if read.is_err() {
            self.table = None;
        }
        read.map(|_| ())
    }

    /// Applies the records before `offset`, then this keeper's own `record` at
    /// `offset`. If no other keeper has appended in between, nothing has to be read.
    async fn apply_up_to(
        &mut self,
        offset: Offset,
        record: &[u8],
    ) -> Result<Vec<ClaimOutcome>, LogError> {
        loop {
            let table = self.table();
            if table.next_offset() == offset {
                return Ok(table.apply(record));
            }
            let from = table.next_offset();
            let limit =
                usize::try_from(offset.0.saturating_sub(from.0)).unwrap_or(MAX_READ_RECORDS);
            if limit == 0 {
                // The table is already past the offset, so the log returned an old
                // one.
                return Err(LogError::Indeterminate(
                    "the record at the returned offset is already applied".to_owned(),
                ));
            }
            self.read_records(from, limit.min(MAX_READ_RECORDS), None)
                .await?;
        }
    }

    /// Searches the stream for a batch whose append had an unknown result, and
    /// returns the outcomes of its items if it was appended.
    async fn find_appended(&mut self, id: CallId) -> Result<Option<Vec<ClaimOutcome>>, LogError> {
        self.read_to_end(Some(id)).await
    }

    /// Reads and applies records until the end of the stream, or up to the batch
    /// `wanted`, whose outcomes it returns.
    async fn read_to_end(
        &mut self,
        wanted: Option<CallId>,
    ) -> Result<Option<Vec<ClaimOutcome>>, LogError> {
        loop {
            let from = self.table().next_offset();
            let (found, is_end) = self.read_records(from, MAX_READ_RECORDS, wanted).await?;
            if found.is_some() || is_end {
                return Ok(found);
            }
        }
    }

    /// Reads and applies up to `limit` records. Returns the outcomes of the batch
    /// `wanted` if it is among them, and whether the end of the stream was reached.
    async fn read_records(
        &mut self,
        from: Offset,
        limit: usize,
        wanted: Option<CallId>,
    ) -> Result<(Option<Vec<ClaimOutcome>>, bool), LogError> {
        let request = ReadRequest {
            stream: self.name.clone(),
            from,
            limit,
            wait: Duration::ZERO,
        };
        let batch = match self.node.log.read(request).await {
            Ok(batch) => batch,
            Err(LogError::Trimmed { first }) => {
                // The log's retention is at least twice the key lifetime, so trimmed
                // records hold no unexpired claims.
                self.table = Some(ClaimTable::starting_at(first));
                return Ok((None, false));
            }
            Err(error) => return Err(error),
        };
        let table = self.table();
        for record in &batch.records {
            let outcomes = table.apply(&record.data);
            let id = ClaimBatch::try_from(record.data.as_ref()).map(|batch| batch.id);
            if wanted.is_some() && id.ok() == wanted {
                return Ok((Some(outcomes), false));
            }
        }
        Ok((None, table.next_offset() >= batch.next))
    }

    fn table(&mut self) -> &mut ClaimTable {
        self.table.get_or_insert_with(ClaimTable::default)
    }

    /// Returns an error if the table has no capacity for `item_count` more keys,
    /// even after expired ones are removed.
    ///
    /// This bounds the keeper's memory. A call whose key can't be claimed doesn't
    /// run, so it is correctly answered as `not-run`.
    fn check_key_limit(&mut self, item_count: usize) -> Result<(), LogError> {
        if self.table().len() + item_count <= MAX_KEYS_PER_STREAM {
            return Ok(());
        }
        let now_ms = self.node.clock.unix_millis();
        self.table().remove_expired(now_ms, CLOCK_SKEW);
        if self.table().len() + item_count <= MAX_KEYS_PER_STREAM {
            return Ok(());
        }
        self.node.metrics.record_drop("claim-keys-over-limit");
        Err(LogError::Refused(
            "too many unexpired idempotency keys in the stream".to_owned(),
        ))
    }
}

/// Takes queued requests until there are enough items for one record.
fn collect_batch(
    first: QueuedRequest,
    queue: &mut mpsc::Receiver<QueuedRequest>,
) -> Vec<QueuedRequest> {
    let mut count = first.items.len();
    let mut requests = vec![first];
    while count < MAX_BATCH_ITEMS
        && let Ok(request) = queue.try_recv()
    {
        count += request.items.len();
        requests.push(request);
    }
    requests
}
