//! The fold that computes the next state from a state and a record.
//!
//! The function is deterministic and total. A record that cannot be decoded is
//! rejected but still counts as a version: a node that stopped at it or skipped
//! it would number all later versions differently from its peers.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::change::{Change, Operation, Precondition};
use crate::config::resource::Resource;
use crate::config::validate::{Rejection, ResourceMap, validate};
use crate::ids::{ChangeId, ConfigVersion, Revision};

/// Number of recent change ids that are remembered, so that a change that was
/// appended twice is applied once.
pub const MAX_REMEMBERED_CHANGES: usize = 4096;

/// The hash chain over all records up to a version, or the hash of the document
/// where the source writes whole documents.
pub type ChainHash = [u8; 32];

/// A resource and the revision at which it was last written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedResource {
    /// Version at which the resource was last written.
    pub revision: Revision,
    /// The resource.
    pub resource: Resource,
}

/// The result of folding a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FoldVerdict {
    /// The change was applied.
    Accepted,
    /// The record was rejected; none of its writes were applied.
    Rejected(Rejection),
    /// The change had already been folded at this version and was ignored.
    Repeated(ConfigVersion),
}

/// The configuration at one version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ConfigState {
    version: ConfigVersion,
    chain: ChainHash,
    resources: ResourceMap,
    recent_ids: VecDeque<ChangeId>,
    verdicts: HashMap<ChangeId, (ConfigVersion, FoldVerdict)>,
}

impl ConfigState {
    /// Returns the empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a state made of the parts of a snapshot or a document.
    ///
    /// `recent` lists the remembered changes with their full verdicts, oldest
    /// first.
    pub(crate) fn from_parts(
        version: ConfigVersion,
        chain: ChainHash,
        resources: ResourceMap,
        recent: Vec<(ChangeId, ConfigVersion, FoldVerdict)>,
    ) -> Self {
        let ids = recent.iter().map(|(id, _, _)| *id).collect();
        let verdicts = recent
            .into_iter()
            .map(|(id, version, verdict)| (id, (version, verdict)))
            .collect();
        Self {
            version,
            chain,
            resources,
            recent_ids: ids,
            verdicts,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the hash of the records or the document behind this state.
    pub fn chain(&self) -> ChainHash {
        self.chain
    }

    /// Returns the resources by key.
    pub fn resources(&self) -> &ResourceMap {
        &self.resources
    }

    /// Returns the remembered changes with their verdicts, oldest first.
    pub fn recent(&self) -> Vec<(ChangeId, ConfigVersion, FoldVerdict)> {
        let mut recent = Vec::with_capacity(self.recent_ids.len());
        for id in &self.recent_ids {
            if let Some((version, verdict)) = self.verdicts.get(id) {
                recent.push((*id, *version, verdict.clone()));
            }
        }
        recent
    }

    /// Returns the version and the verdict of a change, if it is still
    /// remembered.
    pub fn verdict(&self, id: ChangeId) -> Option<&(ConfigVersion, FoldVerdict)> {
        self.verdicts.get(&id)
    }

    /// Folds the next record of the log into the state.
    pub fn fold(&mut self, record: &[u8]) -> FoldVerdict {
        self.version.0 += 1;
        self.chain = extend_chain(&self.chain, record);
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

    /// Checks whether `change` would be accepted now, without folding it.
    ///
    /// # Errors
    ///
    /// Returns the [`Rejection`] that folding the change would give.
    pub fn preview(&self, change: &Change) -> Result<(), Rejection> {
        self.resources_after(change.clone(), self.version)
            .map(|_| ())
    }

    fn apply(&mut self, change: Change) -> Result<(), Rejection> {
        self.resources = self.resources_after(change, self.version)?;
        Ok(())
    }

    fn resources_after(
        &self,
        change: Change,
        version: ConfigVersion,
    ) -> Result<ResourceMap, Rejection> {
        if change.operations.is_empty() {
            return Err(Rejection::Empty);
        }
        let mut written_keys = BTreeSet::new();
        let mut resources = self.resources.clone();
        for operation in change.operations {
            if !written_keys.insert(operation.key.clone()) {
                return Err(Rejection::WrittenTwice(operation.key));
            }
            apply_operation(&mut resources, operation, version)?;
        }
        validate(&resources)?;
        Ok(resources)
    }

    fn remember(&mut self, id: ChangeId, verdict: FoldVerdict) {
        if self.recent_ids.len() == MAX_REMEMBERED_CHANGES
            && let Some(oldest) = self.recent_ids.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
        self.recent_ids.push_back(id);
        self.verdicts.insert(id, (self.version, verdict));
    }
}

fn apply_operation(
    resources: &mut ResourceMap,
    operation: Operation,
    version: ConfigVersion,
) -> Result<(), Rejection> {
    let held = resources.get(&operation.key).map(|entry| entry.revision);
    let is_met = match operation.expect {
        Precondition::Any => true,
        Precondition::Absent => held.is_none(),
        Precondition::At(revision) => held == Some(revision),
    };
    if !is_met {
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

fn extend_chain(chain: &ChainHash, record: &[u8]) -> ChainHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(chain);
    hasher.update(record);
    *hasher.finalize().as_bytes()
}
