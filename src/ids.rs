//! Newtypes for identifiers, versions and names.
//!
//! They keep an offset from being passed where a version is meant, and put
//! the check of a name in one place: a value of a name type is always valid.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::NameError;

/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Longest path or host in bytes.
pub const MAX_PATH_BYTES: usize = 512;

/// The address of a node's peer port, which is the node's identity: a VM that
/// is replaced at the same address is the same member with a higher
/// [`Incarnation`].
pub type NodeAddress = SocketAddr;

number_type! {
    /// The number of configuration records that were folded. Version 0 is the
    /// empty configuration, version `n` includes the records at the offsets
    /// below `n`.
    ConfigVersion(u64);
    /// The version at which a resource was last written.
    Revision(u64);
    /// The position of a record in a stream of the log; the first is 0.
    Offset(u64);
    /// Orders the lives of one node: start time in milliseconds since the
    /// Unix epoch, raised past whatever peers remember of its address.
    Incarnation(u64);
    /// Tells one run of a node's process from another; chosen at random. A gate
    /// remembers calls only for its own life.
    BootId(u64);
    /// Counts the statements that a node made about itself in one life.
    Sequence(u64);
    /// The number of calls that a target runs at once.
    SlotCount(u16);
    /// The share of a whole in percent, 0 to 100.
    Percent(u8);
    /// The rank of a call among those that wait; 0 is served first.
    CallPriority(u8);
    /// What a VM's link carries, in kbit/s; 0 when it is not known.
    LinkRate(u32);
}

impl LinkRate {
    /// Returns the time that the link takes for an amount of bytes; none where
    /// its rate is not known.
    pub fn transfer_time(self, bytes: f64) -> Duration {
        if self.0 == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(bytes * 8.0 / (f64::from(self.0) * 1_000.0))
    }
}

hex_type! {
    /// Names one change of the configuration; chosen at random by the writer.
    ChangeId;
    /// Names one attempt of one call at one gate.
    CallId;
    /// Stands for all requests that would do the same to a target.
    Fingerprint;
    /// Stands for an idempotency key together with its service.
    KeyHash;
}

name_type! {
    /// The name of a service.
    ServiceName, check_name;
    /// The name of a route.
    RouteName, check_name;
    /// The name of a data centre.
    DataCentre, check_name;
    /// The name of a region, which holds one or more data centres.
    RegionName, check_name;
    /// The name that a target has for one of its lives.
    InstanceId, check_name;
    /// Who asked for a change.
    AuthorName, check_name;
    /// A host name that a route matches.
    HostName, check_host;
    /// A path prefix that a route matches; starts with `/`.
    PathPrefix, check_path;
}

impl Fingerprint {
    /// Derives the fingerprint of a request from what a target sees of it.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        Self(hash_parts(parts))
    }
}

impl KeyHash {
    /// Derives the hash under which an idempotency key of a service is claimed.
    pub fn of_key(service: &ServiceName, key: &[u8]) -> Self {
        Self(hash_parts(&[service.as_str().as_bytes(), key]))
    }
}

fn hash_parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        // The length keeps ("ab", "c") apart from ("a", "bc").
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut head = [0; 16];
    hasher.finalize_xof().fill(&mut head);
    u128::from_be_bytes(head)
}

fn check_length(raw: &[u8], limit: usize) -> Result<(), NameError> {
    if raw.is_empty() {
        return Err(NameError::Empty);
    }
    if raw.len() > limit {
        return Err(NameError::TooLong {
            length: raw.len(),
            limit,
        });
    }
    Ok(())
}

fn check_bytes<F>(raw: &[u8], allowed: &'static str, is_allowed: F) -> Result<(), NameError>
where
    F: Fn(u8) -> bool,
{
    match raw.iter().find(|byte| !is_allowed(**byte)) {
        Some(byte) => Err(NameError::InvalidByte {
            byte: *byte,
            allowed,
        }),
        None => Ok(()),
    }
}

fn check_name(raw: &[u8]) -> Result<(), NameError> {
    check_length(raw, MAX_NAME_BYTES)?;
    check_bytes(raw, "a-z, A-Z, 0-9, '-', '_' and '.'", |byte| {
        byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
    })
}

fn check_host(raw: &[u8]) -> Result<(), NameError> {
    check_length(raw, MAX_PATH_BYTES)?;
    check_bytes(raw, "a-z, 0-9, '-' and '.'", |byte| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'.')
    })
}

fn check_path(raw: &[u8]) -> Result<(), NameError> {
    check_length(raw, MAX_PATH_BYTES)?;
    if raw[0] != b'/' {
        return Err(NameError::InvalidByte {
            byte: raw[0],
            allowed: "'/' at the start",
        });
    }
    check_bytes(raw, "visible ASCII but '?' and '#'", |byte| {
        byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#')
    })
}
