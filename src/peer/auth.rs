//! Message authentication with keys that all nodes share.
//!
//! A tag is a BLAKE3 keyed hash of the message, truncated to 16 bytes. Two keys
//! can be accepted at once, so that a key can be rotated without downtime:
//! first, every node is set to accept the new key, then every node is set to
//! sign with it.

use bytes::Bytes;

use crate::error::CodecError;

/// Length of an authentication tag in bytes.
pub const TAG_LENGTH: usize = 16;

/// The authentication keys of the mesh. The first one signs; tags of all of
/// them are accepted.
#[derive(Clone)]
pub struct MeshKeys {
    keys: Vec<[u8; 32]>,
}

impl MeshKeys {
    /// Derives the keys from the secrets in the settings. The first one signs.
    pub fn derive<'a, I>(secrets: I) -> Self
    where
        I: IntoIterator<Item = &'a str>,
    {
        let keys = secrets
            .into_iter()
            .map(|secret| blake3::derive_key("wisteriaturn mesh key 1", secret.as_bytes()))
            .collect();
        Self { keys }
    }

    /// Returns the authentication tag of a message.
    pub fn sign(&self, message: &[u8]) -> [u8; TAG_LENGTH] {
        self.keys
            .first()
            .map(|key| tag(key, message))
            .unwrap_or_default()
    }

    /// Returns `true` if `received_tag` is the tag of `message` under an
    /// accepted key.
    pub fn verify(&self, message: &[u8], received_tag: &[u8]) -> bool {
        let Ok(received_tag) = <[u8; TAG_LENGTH]>::try_from(received_tag) else {
            return false;
        };
        // `blake3::Hash` compares in constant time.
        let pad = |tag: [u8; TAG_LENGTH]| {
            let mut padded = [0; 32];
            padded[..TAG_LENGTH].copy_from_slice(&tag);
            blake3::Hash::from_bytes(padded)
        };
        self.keys
            .iter()
            .any(|key| pad(tag(key, message)) == pad(received_tag))
    }

    /// Appends the authentication tag to a message.
    pub fn seal(&self, mut message: Vec<u8>) -> Bytes {
        let tag = self.sign(&message);
        message.extend_from_slice(&tag);
        Bytes::from(message)
    }

    /// Verifies the tag at the end of a message and returns the message without
    /// it.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::Unauthenticated`] if no accepted key made the tag.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], CodecError> {
        let message_length = sealed
            .len()
            .checked_sub(TAG_LENGTH)
            .ok_or(CodecError::Unauthenticated)?;
        let (message, received_tag) = sealed.split_at(message_length);
        if self.verify(message, received_tag) {
            Ok(message)
        } else {
            Err(CodecError::Unauthenticated)
        }
    }
}

impl std::fmt::Debug for MeshKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Only the number of keys is written, so that no key appears in logs.
        write!(f, "MeshKeys({})", self.keys.len())
    }
}

fn tag(key: &[u8; 32], message: &[u8]) -> [u8; TAG_LENGTH] {
    let mut tag = [0; TAG_LENGTH];
    tag.copy_from_slice(&blake3::keyed_hash(key, message).as_bytes()[..TAG_LENGTH]);
    tag
}
