//! The keeper of claim streams: writes the claims of many gates as one record.
//!
//! The log takes several hundred appends a second in all, far fewer than there
//! are calls. A keeper gathers demands for a short time and appends them
//! together; while an append is under way the next ones gather. Two keepers of
//! one stream are harmless, since the order of the log decides: a keeper
//! answers only after it has folded the stream up to its own record.

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

/// Demands that may wait for one stream.
const QUEUE_LIMIT: usize = 4096;

/// How long a batch is tried before its gates are told to ask again.
const BATCH_TIME: Duration = Duration::from_secs(3);

/// Pause after the log failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Records in one read of a stream.
const READ_LIMIT: usize = 512;

/// How long expired keys are still held, since writers' clocks differ.
const CLOCK_SLACK: Duration = Duration::from_secs(60);

/// Time between two sweeps of expired keys.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct QueuedDemand {
    items: Vec<ClaimItem>,
    reply: oneshot::Sender<Vec<ClaimOutcome>>,
}

/// Takes demands; a task for each stream writes them.
#[derive(Debug)]
pub struct ClaimKeeper {
    queues: Vec<mpsc::Sender<QueuedDemand>>,
}

/// The other ends of the keeper's queues, to be started once.
#[derive(Debug)]
pub struct ClaimKeeperQueues {
    queues: Vec<mpsc::Receiver<QueuedDemand>>,
}

impl ClaimKeeper {
    /// Returns a keeper and its queues.
    pub fn new() -> (Self, ClaimKeeperQueues) {
        let (senders, receivers) = (0..CLAIM_STREAM_COUNT)
            .map(|_| mpsc::channel(QUEUE_LIMIT))
            .unzip();
        (
            Self { queues: senders },
            ClaimKeeperQueues { queues: receivers },
        )
    }

    /// Writes a demand and returns what became of its items.
    pub async fn submit(&self, node: &NodeHandle, demand: ClaimRequest) -> Vec<ClaimOutcome> {
        let count = demand.items.len();
        let refused = || vec![ClaimOutcome::Unavailable; count];
        let Some(queue) = self.queues.get(demand.stream as usize) else {
            return refused();
        };
        let (reply, verdicts) = oneshot::channel();
        let queued = QueuedDemand {
            items: demand.items,
            reply,
        };
        if queue.try_send(queued).is_err() {
            node.metrics.count_drop("claim-queue-full");
            return refused();
        }
        verdicts.await.unwrap_or_else(|_| refused())
    }
}

impl ClaimKeeperQueues {
    /// Starts a task for each stream.
    pub fn start(self, node: &NodeHandle) {
        for (stream, queue) in (0..).zip(self.queues) {
            let keeper = StreamKeeper {
                node: node.clone(),
                name: stream_name(stream),
                fold: None,
                swept: None,
            };
            tokio::spawn(keeper.run(queue));
        }
    }
}

/// What one task knows of its stream; nothing until the first demand.
struct StreamKeeper {
    node: NodeHandle,
    name: String,
    fold: Option<ClaimTable>,
    swept: Option<Instant>,
}

impl StreamKeeper {
    async fn run(mut self, mut queue: mpsc::Receiver<QueuedDemand>) {
        let interval = self.node.settings.tuning.claim_interval;
        let mut last = None;
        while let Some(first) = queue.recv().await {
            if let Some(last) = last {
                let waited = self.node.clock.now().duration_since(last);
                tokio::time::sleep(interval.saturating_sub(waited)).await;
            }
            let demands = gather(first, &mut queue);
            last = Some(self.node.clock.now());
            self.write(demands).await;
        }
    }

    async fn write(&mut self, demands: Vec<QueuedDemand>) {
        let items: Vec<ClaimItem> = demands
            .iter()
            .flat_map(|demand| demand.items.iter().cloned())
            .collect();
        let mut verdicts = match self.decide(items).await {
            Ok(verdicts) => verdicts.into_iter(),
            Err(error) => {
                log::warn!(event = "claims-failed", stream = self.name, error:% = error; "claim");
                // What was folded before the failure stays valid.
                Vec::new().into_iter()
            }
        };
        for demand in demands {
            let count = demand.items.len();
            let mut own: Vec<ClaimOutcome> = verdicts.by_ref().take(count).collect();
            own.resize(count, ClaimOutcome::Unavailable);
            let _ = demand.reply.send(own);
        }
    }

    /// Appends a batch and folds the stream up to it.
    async fn decide(&mut self, items: Vec<ClaimItem>) -> Result<Vec<ClaimOutcome>, LogError> {
        self.catch_up().await?;
        self.check_room(items.len())?;
        self.sweep();
        let batch = ClaimBatch {
            id: CallId(rand::random()),
            wall_ms: self.node.clock.unix_millis(),
            lifetime_ms: self.node.settings.tuning.key_lifetime.as_millis() as u64,
            items,
        };
        let record = batch
            .encode()
            .map_err(|error| LogError::Refused(error.to_string()))?;
        let until = self.node.clock.now() + BATCH_TIME;
        loop {
            match self.node.log.append(&self.name, record.clone()).await {
                Ok(offset) => return self.fold_up_to(offset, &record).await,
                Err(error) if self.node.clock.now() >= until => return Err(error),
                Err(LogError::Indeterminate(_)) => {
                    if let Ok(Some(verdicts)) = self.find_own(batch.id).await {
                        return Ok(verdicts);
                    }
                }
                Err(_) => {}
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Forgets expired keys now and then; looking at all of them on each batch
    /// would cost more than they do.
    fn sweep(&mut self) {
        let now = self.node.clock.now();
        let is_due = self
            .swept
            .is_none_or(|when| now.duration_since(when) >= SWEEP_INTERVAL);
        if is_due {
            self.swept = Some(now);
            let now_ms = self.node.clock.unix_millis();
            self.fold().remove_expired(now_ms, CLOCK_SLACK);
        }
    }

    /// Reads the stream to its end, from its first record at the first time.
    async fn catch_up(&mut self) -> Result<(), LogError> {
        if self.fold.is_some() {
            return Ok(());
        }
        self.fold = Some(ClaimTable::starting_at(Offset(0)));
        let read = self.read_to_end(None).await;
        if read.is_err() {
            self.fold = None;
        }
        read.map(|_| ())
    }

    /// Folds the records before `offset` and then the own one at it. When no
    /// other keeper wrote in between, nothing has to be read.
    async fn fold_up_to(
        &mut self,
        offset: Offset,
        record: &[u8],
    ) -> Result<Vec<ClaimOutcome>, LogError> {
        loop {
            let fold = self.fold();
            if fold.next_offset() == offset {
                return Ok(fold.apply(record));
            }
            let from = fold.next_offset();
            let limit = usize::try_from(offset.0.saturating_sub(from.0)).unwrap_or(READ_LIMIT);
            if limit == 0 {
                // The fold is past the offset: the answer was an old one.
                return Err(LogError::Indeterminate("offset already folded".to_owned()));
            }
            self.read_some(from, limit.min(READ_LIMIT), None).await?;
        }
    }

    /// Looks for the own record after an append whose answer was lost.
    async fn find_own(&mut self, id: CallId) -> Result<Option<Vec<ClaimOutcome>>, LogError> {
        self.read_to_end(Some(id)).await
    }

    async fn read_to_end(
        &mut self,
        own: Option<CallId>,
    ) -> Result<Option<Vec<ClaimOutcome>>, LogError> {
        loop {
            let from = self.fold().next_offset();
            let (found, is_end) = self.read_some(from, READ_LIMIT, own).await?;
            if found.is_some() || is_end {
                return Ok(found);
            }
        }
    }

    async fn read_some(
        &mut self,
        from: Offset,
        limit: usize,
        own: Option<CallId>,
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
                // Retention is at least twice the key lifetime, so a trimmed
                // record holds no live key.
                self.fold = Some(ClaimTable::starting_at(first));
                return Ok((None, false));
            }
            Err(error) => return Err(error),
        };
        let fold = self.fold();
        for record in &batch.records {
            let verdicts = fold.apply(&record.data);
            let id = ClaimBatch::try_from(record.data.as_ref()).map(|batch| batch.id);
            if own.is_some() && id.ok() == own {
                return Ok((Some(verdicts), false));
            }
        }
        Ok((None, fold.next_offset() >= batch.next))
    }

    fn fold(&mut self) -> &mut ClaimTable {
        self.fold.get_or_insert_with(ClaimTable::default)
    }

    /// Makes room for new keys, or refuses them: a keeper's memory is bounded,
    /// and a call whose key is not claimed is truthfully `not-run`.
    fn check_room(&mut self, items: usize) -> Result<(), LogError> {
        if self.fold().len() + items <= MAX_KEYS_PER_STREAM {
            return Ok(());
        }
        let now_ms = self.node.clock.unix_millis();
        self.fold().remove_expired(now_ms, CLOCK_SLACK);
        if self.fold().len() + items <= MAX_KEYS_PER_STREAM {
            return Ok(());
        }
        self.node.metrics.count_drop("claim-keys-over-limit");
        Err(LogError::Refused("too many live keys".to_owned()))
    }
}

fn gather(first: QueuedDemand, queue: &mut mpsc::Receiver<QueuedDemand>) -> Vec<QueuedDemand> {
    let mut count = first.items.len();
    let mut demands = vec![first];
    while count < MAX_BATCH_ITEMS
        && let Ok(demand) = queue.try_recv()
    {
        count += demand.items.len();
        demands.push(demand);
    }
    demands
}
