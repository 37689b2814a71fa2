//! Authentication of messages with a key that all nodes share.
//!
//! A tag is a BLAKE3 keyed hash over the message, cut to 16 bytes. Two keys
//! are accepted at once, so that a key can be changed without a stop: first
//! every node accepts the new key, then every node sends with it.

use bytes::Bytes;

use crate::error::CodecError;

/// Bytes of a tag.
pub const TAG_LENGTH: usize = 16;

/// The keys of the mesh: the first signs, all are accepted.
#[derive(Clone)]
pub struct MeshKeys {
    keys: Vec<[u8; 32]>,
}

impl MeshKeys {
    /// Returns the keys derived from the secrets of the settings; the first
    /// one signs.
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

    /// Returns the tag of a message.
    pub fn sign(&self, message: &[u8]) -> [u8; TAG_LENGTH] {
        self.keys
            .first()
            .map(|key| tag(key, message))
            .unwrap_or_default()
    }

    /// Tells whether `given` is the tag of `message` under an accepted key.
    pub fn verify(&self, message: &[u8], given: &[u8]) -> bool {
        let Ok(given) = <[u8; TAG_LENGTH]>::try_from(given) else {
            return false;
        };
        // The comparison of `blake3::Hash` takes the same time for any input.
        let pad = |tag: [u8; TAG_LENGTH]| {
            let mut whole = [0; 32];
            whole[..TAG_LENGTH].copy_from_slice(&tag);
            blake3::Hash::from_bytes(whole)
        };
        self.keys
            .iter()
            .any(|key| pad(tag(key, message)) == pad(given))
    }

    /// Appends the tag to a message.
    pub fn seal(&self, mut message: Vec<u8>) -> Bytes {
        let tag = self.sign(&message);
        message.extend_from_slice(&tag);
        Bytes::from(message)
    }

    /// Takes the tag off a message and checks it.
    ///
    /// # Errors
    ///
    /// [`CodecError::Unauthenticated`] when no accepted key made the tag.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], CodecError> {
        let split = sealed
            .len()
            .checked_sub(TAG_LENGTH)
            .ok_or(CodecError::Unauthenticated)?;
        let (message, given) = sealed.split_at(split);
        if self.verify(message, given) {
            Ok(message)
        } else {
            Err(CodecError::Unauthenticated)
        }
    }
}

impl std::fmt::Debug for MeshKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The keys stay out of logs.
        write!(f, "MeshKeys({})", self.keys.len())
    }
}

fn tag(key: &[u8; 32], message: &[u8]) -> [u8; TAG_LENGTH] {
    let mut tag = [0; TAG_LENGTH];
    tag.copy_from_slice(&blake3::keyed_hash(key, message).as_bytes()[..TAG_LENGTH]);
    tag
}
