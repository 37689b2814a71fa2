//! Newtypes for identifiers, versions and names.
//!
//! Distinct types prevent an offset from being passed where a version is
//! expected. A name is checked once, when its value is created, so a value of
//! a name type is always valid.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::{NameError, RateError};

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum length of a path or a host name in bytes.
pub const MAX_PATH_BYTES: usize = 512;

/// Maximum value of a [`RequestRate`] in requests per second.
const MAX_REQUESTS_PER_SECOND: f64 = 1e9;

/// The address of a node's peer port, which identifies the node: a VM that is
/// replaced at the same address is the same member with a higher
/// [`Incarnation`].
pub type NodeAddress = SocketAddr;

number_type! {
    /// The number of configuration records folded so far. Version 0 is the
    /// empty configuration; version `n` includes the records at the offsets
    /// below `n`. Where the source writes whole documents, it is the number
    /// that the source gave the document.
    ConfigVersion(u64);
    /// The version at which a resource was last written.
    Revision(u64);
    /// The position of a record in a stream of the log, starting at 0.
    Offset(u64);
    /// Counts how often a source was restored from a copy that lacks its last records;
    /// 0 if the source does not say. Offsets of different eras are not comparable.
    SourceEra(u64);
    /// Orders the runs of the node at one address, or of one target instance:
    /// the start time in milliseconds since the Unix epoch. A node raises it
    /// above any incarnation that peers remember for its address.
    Incarnation(u64);
    /// Identifies one run of a node's process; chosen at random. A gate
    /// remembers calls only until its process ends, so the id shows whether it
    /// can still know a call.
    BootId(u64);
    /// Orders the records that a node publishes about itself, or the
    /// announcements of a target, within one incarnation.
    Sequence(u64);
    /// The number of calls that a target can run concurrently.
    SlotCount(u16);
    /// A percentage, 0 to 100.
    Percent(u8);
    /// A share in thousandths, 0 to 1000.
    Permille(u16);
    /// The priority of a waiting call; 0 is served first.
    CallPriority(u8);
    /// The bandwidth of a VM's network link in kbit/s; 0 when unknown.
    LinkRate(u32);
}

/// A number of requests per second, to a thousandth.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        if (0.0..=MAX_REQUESTS_PER_SECOND).contains(&per_second) {
            Ok(Self((per_second * 1_000.0) as u64))
        } else {
            Err(RateError(per_second.to_string()))
        }
    }
}

impl std::str::FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second: f64 = text.parse().map_err(|_| RateError(text.to_owned()))?;
        Self::try_from(per_second)
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.per_second().fmt(f)
    }
}

impl LinkRate {
    /// Returns the time needed to transfer `bytes` over the link, or zero when
    /// its bandwidth is unknown.
    pub fn transfer_time(self, bytes: f64) -> Duration {
        if self.0 == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(bytes * 8.0 / (f64::from(self.0) * 1_000.0))
    }
}

hex_type! {
    /// Identifies one configuration change; chosen at random by the writer.
    ChangeId;
    /// Identifies one attempt of a call at one gate.
    CallId;
    /// A hash of a request as a target sees it: equal for requests that would
    /// have the same effect.
    Fingerprint;
    /// A hash of an idempotency key and its service.
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
    /// The name that identifies one run of a target's process.
    InstanceId, check_name;
    /// The version of a target's software.
    TargetVersion, check_name;
    /// The name of a team, on whose behalf callers make calls.
    TeamName, check_name;
    /// The name of the author of a change.
    AuthorName, check_name;
    /// A host name that a route matches.
    HostName, check_host;
    /// A path prefix that a route matches; starts with `/`.
    PathPrefix, check_path;
}

impl Fingerprint {
    /// Returns the fingerprint of a request, given the parts of it that a
    /// target sees.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        Self(hash_parts(parts))
    }
}

impl KeyHash {
    /// Returns the hash under which an idempotency key of a service is claimed.
    pub fn of_key(service: &ServiceName, key: &[u8]) -> Self {
        Self(hash_parts(&[service.as_str().as_bytes(), key]))
    }

    /// Returns the hash under which a team's key is known.
    pub fn of_team_key(key: &[u8]) -> Self {
        Self(hash_parts(&[TEAM_KEY_CONTEXT, key]))
    }
}

/// Keeps hashes of team keys apart from those of other keys.
const TEAM_KEY_CONTEXT: &[u8] = b"wisteriaturn team key";

fn hash_parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        // The length prefix distinguishes ("ab", "c") from ("a", "bc").
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut digest = [0; 16];
    hasher.finalize_xof().fill(&mut digest);
    u128::from_be_bytes(digest)
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
    check_bytes(raw, "a-z, 0-9, '-', '_' and '.'", |byte| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
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
    check_bytes(raw, "visible ASCII except '?' and '#'", |byte| {
        byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#')
    })
}
