//! Promises that are known to be broken, each for one seed.

use std::str::FromStr;

/// A promise that a run with one seed is known to break, written as `SEED:PROMISE`. Any
/// other seed must keep it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownBreak {
    seed: u64,
    promise: String,
}

impl KnownBreak {
    /// Returns `true` if this entry excuses `promise` in a run with `seed`.
    pub fn excuses(&self, seed: u64, promise: &str) -> bool {
        self.seed == seed && self.promise == promise
    }
}

impl FromStr for KnownBreak {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || format!("{text:?} is not of the form SEED:PROMISE");
        let (seed, promise) = text.split_once(':').ok_or_else(malformed)?;
        let seed = seed.parse().map_err(|_| malformed())?;
        if promise.is_empty() {
            return Err(malformed());
        }
        Ok(Self {
            seed,
            promise: promise.to_owned(),
        })
    }
}
