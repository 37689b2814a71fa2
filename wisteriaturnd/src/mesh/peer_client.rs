//! Requests to other nodes over a connection.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use wisteriaturn::clock::lock;
use wisteriaturn::config::delta::DocumentDelta;
use wisteriaturn::config::snapshot::decode_snapshot;
use wisteriaturn::ids::{ConfigVersion, NodeAddress};
use wisteriaturn::member::record::MemberRecord;
use wisteriaturn::peer::frame::{decode_frame, encode_frame};
use wisteriaturn::peer::message::{MAX_FRAME_BYTES, PeerAnswer, PeerRequest};

use crate::control::store::FoldOutcome;
use crate::error::LinkError;
use crate::http::pool::CONNECT_TIMEOUT;
use crate::mesh::gossip;
use crate::mesh::handshake::{self, PortKind};
use crate::mesh::rumors;
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeState};

/// Timeout for a request and its answer.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the packets without data that each side of a TCP connection sends to
/// open it, to acknowledge the handshake and to close it.
const CONNECTION_OVERHEAD_BYTES: usize = 5 * 40;

/// A connection to the peer port of a node.
#[derive(Debug)]
pub struct PeerConnection {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    peer: NodeAddress,
}

/// Returns the codec that frames the messages on the peer port. A frame that
/// exceeds the size limit is rejected before memory is allocated for it.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

impl PeerConnection {
    /// Opens a connection and performs the handshake.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if the node cannot be reached or does not know the
    /// mesh key.
    pub async fn open(node: &NodeState, peer: NodeAddress) -> Result<Self, LinkError> {
        let mut stream = timeout(
            CONNECT_TIMEOUT,
            TcpStream::connect(node.addresses.map(peer)),
        )
        .await?
        .map_err(|error| LinkError::Unreachable(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| LinkError::Unreachable(error.to_string()))?;
        handshake::connect(&mut stream, &node.settings.keys, PortKind::Peer).await?;
        Ok(Self {
            framed: Framed::new(stream, frame_codec()),
            peer,
        })
    }

    /// Sends a request and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if the exchange fails. The connection must not be
    /// used again after that.
    pub async fn request(
        &mut self,
        node: &NodeState,
        request: &PeerRequest,
        kind: TrafficKind,
    ) -> Result<PeerAnswer, LinkError> {
        let message = encode_frame(request)?;
        // Counts the IP and TCP headers of one packet as well.
        node.record_sent(kind, self.peer, message.len() + 40);
        timeout(REQUEST_TIMEOUT, self.exchange(Bytes::from(message))).await?
    }

    async fn exchange(&mut self, message: Bytes) -> Result<PeerAnswer, LinkError> {
        self.framed.send(message).await.map_err(connection_lost)?;
        let answer = self
            .framed
            .next()
            .await
            .ok_or_else(|| LinkError::Lost("closed by the peer".to_owned()))?
            .map_err(connection_lost)?;
        Ok(decode_frame(&answer)?)
    }
}

fn connection_lost(error: std::io::Error) -> LinkError {
    LinkError::Lost(error.to_string())
}

/// Sends a single request over a new connection and returns its answer.
///
/// # Errors
///
/// Returns [`LinkError`] if the connection cannot be opened or the exchange
/// fails.
pub async fn request(
    node: &NodeState,
    peer: NodeAddress,
    request: &PeerRequest,
    kind: TrafficKind,
) -> Result<PeerAnswer, LinkError> {
    node.record_sent(kind, peer, CONNECTION_OVERHEAD_BYTES);
    PeerConnection::open(node, peer)
        .await?
        .request(node, request, kind)
        .await
}

/// Spawns a task that pulls the configuration from a peer, unless another pull
/// holds the lease.
pub fn spawn_pull(node: &NodeHandle, peer: NodeAddress) {
    let Some(started_at) = lock(&node.source.pull_lease).try_start(node.clock.now()) else {
        return;
    };
    let node = node.clone();
    tokio::spawn(async move {
        if let Err(error) = pull(&node, peer).await {
            log::debug!(event = "pull-failed", peer:% = peer, error:% = error; "config");
        }
        lock(&node.source.pull_lease).finish(started_at);
    });
}

/// Pulls the configuration changes that this node lacks from a peer, until the
/// peer has no newer ones.
///
/// # Errors
///
/// Returns [`LinkError`] if a request fails or an answer cannot be decoded. What
/// was pulled before stays in force.
pub async fn pull(node: &NodeHandle, peer: NodeAddress) -> Result<(), LinkError> {
    let mut connection = PeerConnection::open(node, peer).await?;
    node.record_sent(TrafficKind::Transfer, peer, CONNECTION_OVERHEAD_BYTES);
    let mut needs_full_state = false;
    loop {
        // No peer has a delta from the empty configuration, so version 0 asks
        // for all records or a snapshot.
        let version = if needs_full_state {
            ConfigVersion(0)
        } else {
            lock(&node.store).version()
        };
        let answer = connection
            .request(node, &PeerRequest::Pull { version }, TrafficKind::Transfer)
            .await?;
        let has_more = match answer {
            PeerAnswer::Tail { first, records } => apply_tail(node, first, records).await,
            PeerAnswer::Snapshot(snapshot) => adopt_snapshot(node, &snapshot)? && !needs_full_state,
            PeerAnswer::Delta(_) if needs_full_state => false,
            PeerAnswer::Delta(delta) => {
                needs_full_state = !adopt_delta(node, &delta);
                needs_full_state
            }
            _ => false,
        };
        if !has_more {
            return Ok(());
        }
    }
}

/// Applies consecutive records and pushes them on. Returns `true` if any was new.
async fn apply_tail(node: &NodeHandle, first: ConfigVersion, records: Vec<Bytes>) -> bool {
    let mut version = first;
    let mut has_applied = false;
    for record in records {
        if let FoldOutcome::Folded(_) = gossip::apply_record(node, version, &record) {
            has_applied = true;
            gossip::push_record(node, version, &record).await;
        }
        version.0 += 1;
    }
    has_applied
}

/// Adopts the document that a delta leads to. Returns `true` if this node now
/// holds that version or a later one, and `false` if the delta does not apply.
fn adopt_delta(node: &NodeHandle, delta: &DocumentDelta) -> bool {
    let adopted = lock(&node.store).adopt_delta(delta);
    match adopted {
        Ok(is_newer) => {
            if is_newer {
                node.publish_view();
                log::info!(
                    event = "delta-adopted",
                    version:% = delta.to,
                    from:% = delta.from,
                    puts = delta.puts.len(),
                    removed = delta.removed.len();
                    "config"
                );
            }
            true
        }
        Err(rejection) => {
            log::warn!(event = "delta-refused", version:% = delta.to, reason:% = rejection; "config");
            false
        }
    }
}

/// Adopts the configuration in a snapshot. Returns `true` if it was newer.
fn adopt_snapshot(node: &NodeHandle, snapshot: &[u8]) -> Result<bool, LinkError> {
    let state = decode_snapshot(snapshot)?;
    let version = state.version();
    let is_newer = lock(&node.store).adopt(state);
    if is_newer {
        node.publish_view();
        log::info!(event = "snapshot-adopted", version:% = version; "config");
    }
    Ok(is_newer)
}

/// Spawns a task that compares the member table with a peer's and exchanges the
/// records that differ, unless such a task is running.
pub fn spawn_anti_entropy(node: &NodeHandle, peer: NodeAddress) {
    if node.is_anti_entropy_running.swap(true, Ordering::AcqRel) {
        return;
    }
    let node = node.clone();
    tokio::spawn(async move {
        if let Err(error) = run_anti_entropy(&node, peer).await {
            log::debug!(event = "compare-failed", peer:% = peer, error:% = error; "member");
        }
        node.is_anti_entropy_running.store(false, Ordering::Release);
    });
}

/// Compares the digests of each data centre with a peer's and exchanges the
/// records of those that differ.
async fn run_anti_entropy(node: &NodeHandle, peer: NodeAddress) -> Result<(), LinkError> {
    let kind = TrafficKind::AntiEntropy;
    let mut connection = PeerConnection::open(node, peer).await?;
    node.record_sent(kind, peer, CONNECTION_OVERHEAD_BYTES);
    let digests = lock(&node.table).digests().clone();
    let answer = connection
        .request(node, &PeerRequest::Compare { digests }, kind)
        .await?;
    let PeerAnswer::Differing(data_centres) = answer else {
        return Ok(());
    };
    if data_centres.is_empty() {
        return Ok(());
    }
    let records = records_in(node, &data_centres);
    let request = PeerRequest::Exchange {
        data_centres,
        records,
    };
    if let PeerAnswer::Records(records) = connection.request(node, &request, kind).await? {
        merge_records(node, records);
    }
    Ok(())
}

/// Returns the records of the members in the given data centres.
pub fn records_in(
    node: &NodeState,
    data_centres: &[wisteriaturn::ids::DataCentre],
) -> Vec<MemberRecord> {
    lock(&node.table)
        .iter()
        .filter(|entry| data_centres.contains(&entry.record.data_centre))
        .map(|entry| entry.record.clone())
        .collect()
}

/// Merges member records into the member table, and wakes the task that
/// rebuilds the view.
pub fn merge_records(node: &NodeHandle, records: Vec<MemberRecord>) {
    for record in records {
        rumors::merge_member(node, record);
    }
    node.members_changed.notify_one();
}
