//! Finds out whose call it is.

use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use wisteriaturn::clock::lock;
use wisteriaturn::config::resource::TeamSpec;
use wisteriaturn::config::view::{RouteEntry, ServingView};
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::team::key::TeamKey;

use crate::node::NodeHandle;

/// Maximum age of the source's last answer for a node to be sure that it knows all keys.
/// A key that it doesn't know may have been added since.
const MAX_CERTAIN_AGE: Duration = Duration::from_millis(1_500);

/// Where a call comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller, which shows a key where there are teams.
    Caller,
    /// The VM of this node, and so possibly its target, whose calls bear no key.
    OwnVm,
}

impl CallOrigin {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            CallOrigin::Caller => "caller",
            CallOrigin::OwnVm => "own-vm",
        }
    }
}

/// A team, and the key by which a caller showed that it belongs to it.
#[derive(Debug, Clone)]
pub struct ProvenTeam {
    /// The team.
    pub spec: Arc<TeamSpec>,
    /// The key.
    pub key: TeamKey,
}

/// Returns the team of a call, or `None` if the call needs none.
///
/// # Errors
///
/// Returns [`RefusalReason::UnknownKey`] if no team holds the key, and
/// [`RefusalReason::NotReady`] if this node can't know that, because it may not have the
/// newest configuration.
pub fn find_team<B>(
    node: &NodeHandle,
    view: &ServingView,
    route: &RouteEntry,
    origin: CallOrigin,
    request: &Request<B>,
) -> Result<Option<ProvenTeam>, RefusalReason> {
    let teams = &view.config.teams;
    if teams.is_empty() || route.spec.public {
        return Ok(None);
    }
    let mut values = request
        .headers()
        .get_all(&node.edge_headers.team_key)
        .iter();
    let Some(value) = values.next() else {
        return match origin {
            CallOrigin::OwnVm => Ok(None),
            CallOrigin::Caller => Err(RefusalReason::UnknownKey),
        };
    };
    if values.next().is_some() {
        return Err(RefusalReason::BadRequest);
    }
    let key = TeamKey::of_bytes(value.as_bytes()).map_err(|_| RefusalReason::UnknownKey)?;
    match teams.find(key) {
        Some(spec) => Ok(Some(ProvenTeam {
            spec: Arc::clone(spec),
            key,
        })),
        None if node.teams.is_revoked(key) || knows_all_keys(node) => {
            Err(RefusalReason::UnknownKey)
        }
        None => Err(RefusalReason::NotReady),
    }
}

/// Returns `true` if a team still holds the key in the configuration in force.
pub fn is_in_force(node: &NodeHandle, team: &ProvenTeam) -> bool {
    let view = node.view.load();
    let holder = view.config.teams.find(team.key);
    holder.is_some_and(|spec| spec.name == team.spec.name)
}

/// Returns `true` if this node has lately heard from the source and lacks no version that
/// its peers hold.
fn knows_all_keys(node: &NodeHandle) -> bool {
    if node.documents.is_none() {
        return true;
    }
    let now = node.clock.now();
    let answered_at = *lock(&node.source.answered_at);
    let is_fresh = answered_at
        .is_some_and(|answered_at| now.saturating_duration_since(answered_at) < MAX_CERTAIN_AGE);
    let is_told = lock(&node.source.reader_contact).is_recent(now);
    let held = node.view.load().config.version;
    (is_fresh || is_told) && !node.source.is_missing(held)
}
