//! Keys of teams.
//!
//! A key is kept as its hash: neither the log, the API nor a dump of memory shows it, and
//! looking up a hash takes a time that tells nothing about the keys that exist.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::resource::TeamSpec;
use crate::error::KeyError;
use crate::ids::{KeyHash, TeamName};

/// Maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Prefix of the text form of a hashed key. A key can't begin with it.
const HASH_PREFIX: &str = "hashed:";

/// A key of a team, as its hash. Its text form is `hashed:` and 32 hexadecimal digits; any
/// other text is taken for the key itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamKey(KeyHash);

impl TeamKey {
    /// Returns the key whose bytes are `key`.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] if `key` is empty, too long, or has bytes other than
    /// visible ASCII. The error doesn't show the key.
    pub fn of_bytes(key: &[u8]) -> Result<Self, KeyError> {
        if key.is_empty() {
            return Err(KeyError::Empty);
        }
        if key.len() > MAX_KEY_BYTES {
            return Err(KeyError::TooLong { length: key.len() });
        }
        if !key.iter().all(u8::is_ascii_graphic) {
            return Err(KeyError::InvalidByte);
        }
        Ok(Self(KeyHash::of_team_key(key)))
    }
}

impl FromStr for TeamKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.strip_prefix(HASH_PREFIX) {
            Some(digits) if digits.len() == 32 => {
                digits.parse().map(Self).map_err(|_| KeyError::Hash)
            }
            Some(_) => Err(KeyError::Hash),
            None => Self::of_bytes(text.as_bytes()),
        }
    }
}

impl fmt::Display for TeamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{HASH_PREFIX}{}", self.0)
    }
}

impl Serialize for TeamKey {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TeamKey {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// The teams of one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct TeamTable {
    by_key: HashMap<TeamKey, Arc<TeamSpec>>,
    by_name: BTreeMap<TeamName, Arc<TeamSpec>>,
}

impl TeamTable {
    /// Adds a team.
    pub fn insert(&mut self, spec: &TeamSpec) {
        let spec = Arc::new(spec.clone());
        for key in &spec.keys {
            self.by_key.insert(*key, Arc::clone(&spec));
        }
        self.by_name.insert(spec.name.clone(), spec);
    }

    /// Returns `true` if there are no teams, so that no call needs a key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the team that holds a key.
    pub fn find(&self, key: TeamKey) -> Option<&Arc<TeamSpec>> {
        self.by_key.get(&key)
    }

    /// Returns the team of a name.
    pub fn get(&self, name: &TeamName) -> Option<&Arc<TeamSpec>> {
        self.by_name.get(name)
    }

    /// Returns all teams.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<TeamSpec>> {
        self.by_name.values()
    }

    /// Returns the keys that `later` no longer has.
    pub fn keys_missing_in<'a>(
        &'a self,
        later: &'a TeamTable,
    ) -> impl Iterator<Item = TeamKey> + 'a {
        let keys = self.by_key.keys().copied();
        keys.filter(|key| !later.by_key.contains_key(key))
    }
}
