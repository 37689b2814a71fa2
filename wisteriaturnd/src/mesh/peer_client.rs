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
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeState};

/// Time for the answer to a request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of a TCP connection's packets without data, counted as sent by each
/// side: opening, handshake acknowledgements and closing.
const CONNECTION_BYTES: usize = 5 * 40;

/// A connection to the peer port of a node.
#[derive(Debug)]
pub struct PeerConnection {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    peer: NodeAddress,
}

/// Returns the framing of the peer port; a longer frame is refused before
/// memory is taken for it.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

impl PeerConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the node cannot be reached or does not know the key.
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

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// [`LinkError`] after which the connection must not be used again.
    pub async fn request(
        &mut self,
        node: &NodeState,
        request: &PeerRequest,
        kind: TrafficKind,
    ) -> Result<PeerAnswer, LinkError> {
        let message = encode_frame(request)?;
        node.record_sent(kind, self.peer, message.len() + 40);
        timeout(REQUEST_TIMEOUT, self.exchange(Bytes::from(message))).await?
    }

    async fn exchange(&mut self, message: Bytes) -> Result<PeerAnswer, LinkError> {
        self.framed.send(message).await.map_err(lost)?;
        let answer = self
            .framed
            .next()
            .await
            .ok_or_else(|| LinkError::Lost("closed by the peer".to_owned()))?
            .map_err(lost)?;
        Ok(decode_frame(&answer)?)
    }
}

fn lost(error: std::io::Error) -> LinkError {
    LinkError::Lost(error.to_string())
}

/// Makes one request over a connection of its own.
///
/// # Errors
///
/// [`LinkError`] as of [`PeerConnection`].
pub async fn request(
    node: &NodeState,
    peer: NodeAddress,
    request: &PeerRequest,
    kind: TrafficKind,
) -> Result<PeerAnswer, LinkError> {
    node.record_sent(kind, peer, CONNECTION_BYTES);
    PeerConnection::open(node, peer)
        .await?
        .request(node, request, kind)
        .await
}

/// Pulls the configuration from a peer unless a pull has just begun.
pub fn spawn_pull(node: &NodeHandle, peer: NodeAddress) {
    let Some(began) = lock(&node.source.pull_lease).try_start(node.clock.now()) else {
        return;
    };
    let node = node.clone();
    tokio::spawn(async move {
        if let Err(error) = pull(&node, peer).await {
            log::debug!(event = "pull-failed", peer:% = peer, error:% = error; "config");
        }
        lock(&node.source.pull_lease).finish(began);
    });
}

/// Pulls what this node does not hold from a peer, until the peer has no more.
///
/// # Errors
///
/// [`LinkError`] when the peer fails; what came before is in force.
pub async fn pull(node: &NodeHandle, peer: NodeAddress) -> Result<(), LinkError> {
    let mut link = PeerConnection::open(node, peer).await?;
    node.record_sent(TrafficKind::Transfer, peer, CONNECTION_BYTES);
    let mut is_whole_needed = false;
    loop {
        // Nobody knows a difference from the empty configuration.
        let version = if is_whole_needed {
            ConfigVersion(0)
        } else {
            lock(&node.store).version()
        };
        let answer = link
            .request(node, &PeerRequest::Pull { version }, TrafficKind::Transfer)
            .await?;
        let has_more = match answer {
            PeerAnswer::Tail { first, records } => take_tail(node, first, records).await,
            PeerAnswer::Snapshot(snapshot) => take_snapshot(node, &snapshot)? && !is_whole_needed,
            PeerAnswer::Delta(_) if is_whole_needed => false,
            PeerAnswer::Delta(delta) => {
                is_whole_needed = !take_delta(node, &delta);
                is_whole_needed
            }
            _ => false,
        };
        if !has_more {
            return Ok(());
        }
    }
}

async fn take_tail(node: &NodeHandle, first: ConfigVersion, records: Vec<Bytes>) -> bool {
    let mut version = first;
    let mut has_folded = false;
    for record in records {
        if let FoldOutcome::Folded(_) = gossip::apply_record(node, version, &record) {
            has_folded = true;
            gossip::push_record(node, version, &record).await;
        }
        version.0 += 1;
    }
    has_folded
}

/// Takes a difference; returns whether what it leads to is held now.
fn take_delta(node: &NodeHandle, delta: &DocumentDelta) -> bool {
    let taken = lock(&node.store).adopt_delta(delta);
    match taken {
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

fn take_snapshot(node: &NodeHandle, snapshot: &[u8]) -> Result<bool, LinkError> {
    let state = decode_snapshot(snapshot)?;
    let version = state.version();
    let is_newer = lock(&node.store).adopt(state);
    if is_newer {
        node.publish_view();
        log::info!(event = "snapshot-adopted", version:% = version; "config");
    }
    Ok(is_newer)
}

/// Compares members with a peer and exchanges what differs, unless a
/// comparison is under way.
pub fn spawn_anti_entropy(node: &NodeHandle, peer: NodeAddress) {
    if node.is_anti_entropy_running.swap(true, Ordering::AcqRel) {
        return;
    }
    let node = node.clone();
    tokio::spawn(async move {
        if let Err(error) = compare(&node, peer).await {
            log::debug!(event = "compare-failed", peer:% = peer, error:% = error; "member");
        }
        node.is_anti_entropy_running.store(false, Ordering::Release);
    });
}

async fn compare(node: &NodeHandle, peer: NodeAddress) -> Result<(), LinkError> {
    let kind = TrafficKind::AntiEntropy;
    let mut link = PeerConnection::open(node, peer).await?;
    node.record_sent(kind, peer, CONNECTION_BYTES);
    let digests = lock(&node.table).digests().clone();
    let answer = link
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
    if let PeerAnswer::Records(records) = link.request(node, &request, kind).await? {
        merge_records(node, records);
    }
    Ok(())
}

/// Returns the records of the members in some data centres.
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

/// Merges records that came over a connection.
pub fn merge_records(node: &NodeHandle, records: Vec<MemberRecord>) {
    let now = node.clock.now();
    let mut table = lock(&node.table);
    for record in records {
        table.merge(record, now);
    }
    drop(table);
    node.members_changed.notify_one();
}
