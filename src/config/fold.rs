//! The fold: one state and one record give the next state.
//!
//! The function is pure and total. A record that cannot be decoded is rejected
//! and still counts as a version, because a node that stopped there, or
//! skipped it, would number every later version differently from its peers.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::change::{Change, Operation, Precondition};
use crate::config::resource::Resource;
use crate::config::validate::{Rejection, ResourceMap, validate};
use crate::ids::{ChangeId, ConfigVersion, Revision};

/// Change ids that are remembered, so that a change appended twice is folded once.
pub const MAX_REMEMBERED_CHANGES: usize = 4096;

/// The hash over all records up to a version.
pub type ChainHash = [u8; 32];

/// A resource with the revision at which it was last written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedResource {
    /// Version of the last write.
    pub revision: Revision,
    /// The resource.
    pub resource: Resource,
}

/// What became of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FoldVerdict {
    /// The change is part of the version.
    Accepted,
    /// The change was rejected whole.
    Rejected(Rejection),
    /// The change was folded before, at this version.
    Repeated(ConfigVersion),
}

/// The configuration at one version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ConfigState {
    version: ConfigVersion,
    chain: ChainHash,
    resources: ResourceMap,
    recent: VecDeque<ChangeId>,
    verdicts: HashMap<ChangeId, (ConfigVersion, FoldVerdict)>,
}

impl ConfigState {
    /// Returns the empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a state from the parts of a snapshot.
    ///
    /// Verdicts are kept only as accepted or not: a rejected change may be
    /// asked about again, but its reason is not worth a snapshot's bytes.
    pub(crate) fn from_parts(
        version: ConfigVersion,
        chain: ChainHash,
        resources: ResourceMap,
        recent: Vec<(ChangeId, ConfigVersion, FoldVerdict)>,
    ) -> Self {
        let order = recent.iter().map(|(id, _, _)| *id).collect();
        let verdicts = recent
            .into_iter()
            .map(|(id, version, verdict)| (id, (version, verdict)))
            .collect();
        Self {
            version,
            chain,
            resources,
            recent: order,
            verdicts,
        }
    }

    /// Returns the number of records folded.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the hash over all records folded.
    pub fn chain(&self) -> ChainHash {
        self.chain
    }

    /// Returns the resources.
    pub fn resources(&self) -> &ResourceMap {
        &self.resources
    }

    /// Returns the remembered changes, oldest first.
    pub fn recent(&self) -> Vec<(ChangeId, ConfigVersion, FoldVerdict)> {
        let mut recent = Vec::with_capacity(self.recent.len());
        for id in &self.recent {
            if let Some((version, verdict)) = self.verdicts.get(id) {
                recent.push((*id, *version, verdict.clone()));
            }
        }
        recent
    }

    /// Returns what became of a change that is still remembered.
    pub fn verdict(&self, id: ChangeId) -> Option<&(ConfigVersion, FoldVerdict)> {
        self.verdicts.get(&id)
    }

    /// Folds the next record of the log.
    pub fn fold(&mut self, record: &[u8]) -> FoldVerdict {
        self.version.0 += 1;
        self.chain = next_chain(&self.chain, record);
        let change = match Change::try_from(record) {
            Ok(change) => change,
            Err(error) => {
                return FoldVerdict::Rejected(Rejection::Undecodable(error.to_string()));
            }
        };
        if let Some((version, _)) = self.verdicts.get(&change.id) {
            return FoldVerdict::Repeated(*version);
        }
        let id = change.id;
        let verdict = match self.apply(change) {
            Ok(()) => FoldVerdict::Accepted,
            Err(rejection) => FoldVerdict::Rejected(rejection),
        };
        self.remember(id, verdict.clone());
        verdict
    }

    /// Tells what folding `change` now would give, without folding it.
    pub fn preview(&self, change: &Change) -> Result<(), Rejection> {
        self.applied(change.clone(), self.version).map(|_| ())
    }

    fn apply(&mut self, change: Change) -> Result<(), Rejection> {
        self.resources = self.applied(change, self.version)?;
        Ok(())
    }

    fn applied(&self, change: Change, version: ConfigVersion) -> Result<ResourceMap, Rejection> {
        if change.operations.is_empty() {
            return Err(Rejection::Empty);
        }
        let mut written = BTreeSet::new();
        let mut resources = self.resources.clone();
        for operation in change.operations {
            if !written.insert(operation.key.clone()) {
                return Err(Rejection::WrittenTwice(operation.key));
            }
            write_one(&mut resources, operation, version)?;
        }
        validate(&resources)?;
        Ok(resources)
    }

    fn remember(&mut self, id: ChangeId, verdict: FoldVerdict) {
        if self.recent.len() == MAX_REMEMBERED_CHANGES
            && let Some(oldest) = self.recent.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
        self.recent.push_back(id);
        self.verdicts.insert(id, (self.version, verdict));
    }
}

fn write_one(
    resources: &mut ResourceMap,
    operation: Operation,
    version: ConfigVersion,
) -> Result<(), Rejection> {
    let held = resources.get(&operation.key).map(|held| held.revision);
    let is_expected = match operation.expect {
        Precondition::Any => true,
        Precondition::Absent => held.is_none(),
        Precondition::At(revision) => held == Some(revision),
    };
    if !is_expected {
        return Err(Rejection::Conflict {
            key: operation.key,
            expected: operation.expect,
            held,
        });
    }
    match operation.value {
        Some(resource) => {
            let revision = Revision(version.0);
            resources.insert(
                operation.key,
                Arc::new(VersionedResource { revision, resource }),
            );
        }
        None => {
            if resources.remove(&operation.key).is_none() {
                return Err(Rejection::Missing(operation.key));
            }
        }
    }
    Ok(())
}

fn next_chain(chain: &ChainHash, record: &[u8]) -> ChainHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(chain);
    hasher.update(record);
    *hasher.finalize().as_bytes()
}
