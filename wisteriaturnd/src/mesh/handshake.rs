//! Mutual authentication of two nodes that share a mesh key.
//!
//! Each side sends a random challenge and proves that it knows the key by a
//! keyed hash over both challenges, its role and the kind of port. A recorded
//! proof can therefore not be replayed on a later connection, on a port of the
//! other kind or in the other role. The accepting side also sends its boot id,
//! which shows whether its process was restarted, so that its gate no longer knows
//! earlier calls.

use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;
use wisteriaturn::ids::BootId;
use wisteriaturn::peer::auth::{MeshKeys, TAG_LENGTH};

use crate::error::LinkError;

/// Timeout for the whole handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Length of a challenge in bytes.
const CHALLENGE_LENGTH: usize = 16;

/// The kind of port that a connection is made to. It is part of the signed
/// transcript.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortKind {
    /// Accepts the requests of other nodes.
    Peer,
    /// Accepts calls that other nodes forward to this node's gate.
    Hop,
}

impl PortKind {
    fn label(self) -> &'static [u8] {
        match self {
            PortKind::Peer => b"peer",
            PortKind::Hop => b"hop",
        }
    }
}

/// Performs the handshake on a connection that this node opened. Returns the
/// boot id of the peer.
///
/// # Errors
///
/// Returns [`LinkError`] if the connection fails, the handshake exceeds
/// [`HANDSHAKE_TIMEOUT`] or the peer's proof is invalid.
pub async fn connect<S>(
    stream: &mut S,
    keys: &MeshKeys,
    port: PortKind,
) -> Result<BootId, LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    timeout(HANDSHAKE_TIMEOUT, connect_inner(stream, keys, port)).await?
}

async fn connect_inner<S>(
    stream: &mut S,
    keys: &MeshKeys,
    port: PortKind,
) -> Result<BootId, LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let own_challenge: [u8; CHALLENGE_LENGTH] = rand::random();
    stream
        .write_all(&own_challenge)
        .await
        .map_err(unreachable)?;
    let mut hello = [0; CHALLENGE_LENGTH + 8 + TAG_LENGTH];
    stream.read_exact(&mut hello).await.map_err(unreachable)?;
    let (peer_challenge, rest) = hello.split_at(CHALLENGE_LENGTH);
    let (boot_id, proof) = rest.split_at(8);
    if !keys.verify(
        &transcript(port, b"accept", &own_challenge, peer_challenge, boot_id),
        proof,
    ) {
        return Err(LinkError::Unauthenticated);
    }
    let answer = keys.sign(&transcript(
        port,
        b"connect",
        peer_challenge,
        &own_challenge,
        boot_id,
    ));
    stream.write_all(&answer).await.map_err(unreachable)?;
    let boot_id = boot_id.try_into().unwrap_or_default();
    Ok(BootId(u64::from_le_bytes(boot_id)))
}

/// Performs the handshake on a connection that this node accepted. Sends
/// `boot_id`, the boot id of this node, to the peer.
///
/// # Errors
///
/// Returns [`LinkError`] if the connection fails, the handshake exceeds
/// [`HANDSHAKE_TIMEOUT`] or the peer's proof is invalid.
pub async fn accept<S>(
    stream: &mut S,
    keys: &MeshKeys,
    port: PortKind,
    boot_id: BootId,
) -> Result<(), LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    timeout(HANDSHAKE_TIMEOUT, accept_inner(stream, keys, port, boot_id)).await?
}

async fn accept_inner<S>(
    stream: &mut S,
    keys: &MeshKeys,
    port: PortKind,
    boot_id: BootId,
) -> Result<(), LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut peer_challenge = [0; CHALLENGE_LENGTH];
    stream
        .read_exact(&mut peer_challenge)
        .await
        .map_err(unreachable)?;
    let own_challenge: [u8; CHALLENGE_LENGTH] = rand::random();
    let boot_id = boot_id.0.to_le_bytes();
    let proof = keys.sign(&transcript(
        port,
        b"accept",
        &peer_challenge,
        &own_challenge,
        &boot_id,
    ));
    let mut hello = Vec::with_capacity(CHALLENGE_LENGTH + 8 + TAG_LENGTH);
    hello.extend_from_slice(&own_challenge);
    hello.extend_from_slice(&boot_id);
    hello.extend_from_slice(&proof);
    stream.write_all(&hello).await.map_err(unreachable)?;
    let mut answer = [0; TAG_LENGTH];
    stream.read_exact(&mut answer).await.map_err(unreachable)?;
    if keys.verify(
        &transcript(port, b"connect", &own_challenge, &peer_challenge, &boot_id),
        &answer,
    ) {
        Ok(())
    } else {
        Err(LinkError::Unauthenticated)
    }
}

fn unreachable(error: std::io::Error) -> LinkError {
    LinkError::Unreachable(error.to_string())
}

/// Returns the message that a side signs to prove that it knows the key.
/// The challenges are those that the signer has received and sent. The boot id
/// is that of the accepting side, in either role.
fn transcript(
    port: PortKind,
    role: &[u8],
    received_challenge: &[u8],
    sent_challenge: &[u8],
    boot_id: &[u8],
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(64);
    // Neither the label nor the role contains a zero byte and the remaining
    // parts have fixed lengths, so that the encoding is unambiguous.
    bytes.extend_from_slice(port.label());
    bytes.push(0);
    bytes.extend_from_slice(role);
    bytes.push(0);
    bytes.extend_from_slice(received_challenge);
    bytes.extend_from_slice(sent_challenge);
    bytes.extend_from_slice(boot_id);
    bytes
}
