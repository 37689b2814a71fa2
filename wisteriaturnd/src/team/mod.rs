//! Teams at this node: whose call it is, and whether the team has room for it.
//!
//! The decisions are in [`wisteriaturn::team`]. Where the configuration has no teams,
//! nothing here is reached.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use wisteriaturn::clock::lock;
use wisteriaturn::ids::{NodeAddress, RequestRate, TeamName};
use wisteriaturn::team::keeper::{AllowanceMargin, KeeperBucket};
use wisteriaturn::team::key::{TeamKey, TeamTable};
use wisteriaturn::team::wallet::TeamWallet;

pub mod admission;
pub mod identify;
pub mod keep;

/// Margin where the settings name none.
const DEFAULT_MARGIN: AllowanceMargin = AllowanceMargin {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 10.0,
};

/// Maximum number of keys that are remembered after they were taken away.
const MAX_REVOKED_KEYS: usize = 4_096;

/// Maximum number of teams whose wallets are kept.
const MAX_WALLETS: usize = 4_096;

/// The calls of one team that this node may make, and those who wait for more.
#[derive(Debug)]
pub(crate) struct WalletEntry {
    pub(crate) wallet: Mutex<TeamWallet>,
    pub(crate) answered: Notify,
}

/// What this node knows of the keepers of allowances.
#[derive(Debug, Default)]
pub(crate) struct KeeperState {
    /// Buckets of the teams whose allowance this node keeps.
    pub(crate) buckets: BTreeMap<TeamName, KeeperBucket>,
    /// Keepers of each team, first the one to ask, by the digest of the member table.
    pub(crate) chosen: (u64, BTreeMap<TeamName, Vec<NodeAddress>>),
    /// Digest of the members that may be keepers, and when it last changed.
    pub(crate) members: Option<(u64, Instant)>,
    /// Keepers that others could not reach, when this node last asked them itself, and
    /// whether they were silent.
    pub(crate) suspected: BTreeMap<NodeAddress, SuspectedKeeper>,
}

/// A keeper that another node could not reach.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SuspectedKeeper {
    pub(crate) checked_at: Option<Instant>,
    pub(crate) is_silent: bool,
    pub(crate) is_checking: bool,
}

/// Keys that were taken away.
#[derive(Debug, Default)]
struct RevokedKeys {
    keys: HashSet<TeamKey>,
    order: VecDeque<TeamKey>,
}

/// The teams of a node.
#[derive(Debug)]
pub struct NodeTeams {
    margin: AllowanceMargin,
    wallets: Mutex<BTreeMap<TeamName, Arc<WalletEntry>>>,
    pub(crate) keeper: Mutex<KeeperState>,
    revoked: Mutex<RevokedKeys>,
    first_number: u64,
}

impl NodeTeams {
    /// Returns the state of a node that has seen no call of a team. `first_number` is
    /// higher than that of earlier runs of the node.
    pub fn new(margin: Option<AllowanceMargin>, first_number: u64) -> Self {
        Self {
            margin: margin.unwrap_or(DEFAULT_MARGIN),
            wallets: Mutex::default(),
            keeper: Mutex::default(),
            revoked: Mutex::default(),
            first_number,
        }
    }

    /// Returns the margin by which all nodes together may exceed an allowance.
    pub(crate) fn margin(&self) -> AllowanceMargin {
        self.margin
    }

    /// Remembers the keys that a new version of the configuration takes away, so that they
    /// are refused as such and not as keys that may be newer than the version.
    pub fn record_change(&self, before: &TeamTable, after: &TeamTable) {
        if before.is_empty() && after.is_empty() {
            return;
        }
        let mut revoked = lock(&self.revoked);
        let mut taken = 0;
        for key in before.keys_missing_in(after) {
            if revoked.keys.insert(key) {
                revoked.order.push_back(key);
                taken += 1;
            }
        }
        revoked.keys.retain(|key| after.find(*key).is_none());
        while revoked.order.len() > MAX_REVOKED_KEYS {
            if let Some(key) = revoked.order.pop_front() {
                revoked.keys.remove(&key);
            }
        }
        if taken > 0 {
            log::info!(event = "keys-revoked", keys = taken, known = revoked.keys.len(); "team");
        }
    }

    /// Returns `true` if the key was taken away.
    pub(crate) fn is_revoked(&self, key: TeamKey) -> bool {
        lock(&self.revoked).keys.contains(&key)
    }

    /// Returns the wallet of a team, creating it if there is none.
    pub(crate) fn wallet(&self, team: &TeamName, now: Instant) -> Arc<WalletEntry> {
        let mut wallets = lock(&self.wallets);
        if let Some(entry) = wallets.get(team) {
            return Arc::clone(entry);
        }
        if wallets.len() >= MAX_WALLETS {
            wallets.retain(|_, entry| !lock(&entry.wallet).is_idle(now));
        }
        let entry = Arc::new(WalletEntry {
            wallet: Mutex::new(TeamWallet::new(self.first_number, now)),
            answered: Notify::new(),
        });
        wallets.insert(team.clone(), Arc::clone(&entry));
        entry
    }

    /// Returns what this node may still do for a team: the calls that it holds, the time
    /// for which it refuses more, and the age of the keeper's last answer.
    pub fn describe_wallet(&self, team: &TeamName, now: Instant) -> Option<WalletSummary> {
        let entry = lock(&self.wallets).get(team).cloned()?;
        let mut wallet = lock(&entry.wallet);
        Some(WalletSummary {
            held_calls: wallet.held(now),
            waiting_calls: wallet.waiting(),
            refused_for: wallet
                .no_room_until()
                .map(|until| until.saturating_duration_since(now))
                .unwrap_or_default(),
            answer_age: wallet.answer_age(now),
        })
    }

    /// Returns the rates and tokens of the allowances that this node keeps.
    pub fn describe_buckets(&self, now: Instant) -> Vec<(TeamName, RequestRate, f64)> {
        let keeper = lock(&self.keeper);
        keeper
            .buckets
            .iter()
            .map(|(team, bucket)| (team.clone(), bucket.limit().rate, bucket.tokens(now)))
            .collect()
    }
}

/// What a node may still do for a team.
#[derive(Debug, Clone, Copy)]
pub struct WalletSummary {
    /// Calls that the node may make without asking.
    pub held_calls: u16,
    /// Calls that wait for a keeper's answer.
    pub waiting_calls: u16,
    /// Time for which it refuses calls because the team has no room.
    pub refused_for: Duration,
    /// Time since the keeper last answered.
    pub answer_age: Duration,
}
