//! How two nodes prove to each other that they know the mesh key.
//!
//! Each side sends a random challenge and answers the other's with a keyed
//! hash over both challenges, its role and the port's use. So an answer that
//! was recorded is of no use later, on another port, or for the other role.
//! The accepting side also states its life, which a caller needs to know
//! whether a gate can still remember a call.

use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;
use wisteriaturn::ids::BootId;
use wisteriaturn::peer::auth::{MeshKeys, TAG_LENGTH};

use crate::error::LinkError;

/// Time for the whole handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of a challenge.
const CHALLENGE_LENGTH: usize = 16;

/// What a port is for; part of what is signed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortKind {
    /// Messages between nodes.
    Peer,
    /// Calls between nodes.
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

/// Proves the key on a connection that this node opened, checks the other
/// side's proof and returns its life.
///
/// # Errors
///
/// [`LinkError`] when the connection fails or the proof does not hold.
pub async fn connect<S>(
    stream: &mut S,
    keys: &MeshKeys,
    port: PortKind,
) -> Result<BootId, LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    timeout(HANDSHAKE_TIMEOUT, connect_now(stream, keys, port)).await?
}

async fn connect_now<S>(
    stream: &mut S,
    keys: &MeshKeys,
    port: PortKind,
) -> Result<BootId, LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mine: [u8; CHALLENGE_LENGTH] = rand::random();
    stream.write_all(&mine).await.map_err(unreachable)?;
    let mut hello = [0; CHALLENGE_LENGTH + 8 + TAG_LENGTH];
    stream.read_exact(&mut hello).await.map_err(unreachable)?;
    let (theirs, rest) = hello.split_at(CHALLENGE_LENGTH);
    let (life, proof) = rest.split_at(8);
    if !keys.verify(&transcript(port, b"accept", &mine, theirs, life), proof) {
        return Err(LinkError::Unauthenticated);
    }
    let answer = keys.sign(&transcript(port, b"connect", theirs, &mine, life));
    stream.write_all(&answer).await.map_err(unreachable)?;
    let life = life.try_into().unwrap_or_default();
    Ok(BootId(u64::from_le_bytes(life)))
}

/// Proves the key on a connection that this node accepted and checks the
/// other side's proof.
///
/// # Errors
///
/// [`LinkError`] when the connection fails or the proof does not hold.
pub async fn accept<S>(
    stream: &mut S,
    keys: &MeshKeys,
    port: PortKind,
    life: BootId,
) -> Result<(), LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    timeout(HANDSHAKE_TIMEOUT, accept_now(stream, keys, port, life)).await?
}

async fn accept_now<S>(
    stream: &mut S,
    keys: &MeshKeys,
    port: PortKind,
    life: BootId,
) -> Result<(), LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut theirs = [0; CHALLENGE_LENGTH];
    stream.read_exact(&mut theirs).await.map_err(unreachable)?;
    let mine: [u8; CHALLENGE_LENGTH] = rand::random();
    let life = life.0.to_le_bytes();
    let proof = keys.sign(&transcript(port, b"accept", &theirs, &mine, &life));
    let mut hello = Vec::with_capacity(CHALLENGE_LENGTH + 8 + TAG_LENGTH);
    hello.extend_from_slice(&mine);
    hello.extend_from_slice(&life);
    hello.extend_from_slice(&proof);
    stream.write_all(&hello).await.map_err(unreachable)?;
    let mut answer = [0; TAG_LENGTH];
    stream.read_exact(&mut answer).await.map_err(unreachable)?;
    if keys.verify(
        &transcript(port, b"connect", &mine, &theirs, &life),
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

fn transcript(port: PortKind, role: &[u8], one: &[u8], other: &[u8], life: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(64);
    // The labels have no byte 0, so the parts cannot run into each other.
    bytes.extend_from_slice(port.label());
    bytes.push(0);
    bytes.extend_from_slice(role);
    bytes.push(0);
    bytes.extend_from_slice(one);
    bytes.extend_from_slice(other);
    bytes.extend_from_slice(life);
    bytes
}
