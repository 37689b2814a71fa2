//! The bound on the calls that one node has under way on a route.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use crate::clock::lock;
use crate::ids::RouteName;

/// Counts the calls under way on each route; a cheap handle.
#[derive(Debug, Clone, Default)]
pub struct RouteLimiter {
    counts: Arc<Mutex<HashMap<RouteName, u32>>>,
}

/// A call that is counted until this is dropped.
#[derive(Debug)]
pub struct RoutePermit {
    limit: RouteLimiter,
    route: RouteName,
}

impl RouteLimiter {
    /// Returns a limit with no call under way.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call, or returns nothing when `most` are under way.
    pub fn try_acquire(&self, route: &RouteName, most: Option<u32>) -> Option<RoutePermit> {
        let mut counts = lock(&self.counts);
        let count = counts.entry(route.clone()).or_default();
        if most.is_some_and(|most| *count >= most) {
            return None;
        }
        *count += 1;
        Some(RoutePermit {
            limit: self.clone(),
            route: route.clone(),
        })
    }
}

impl Drop for RoutePermit {
    fn drop(&mut self) {
        let mut counts = lock(&self.limit.counts);
        if let Some(count) = counts.get_mut(&self.route) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.route);
            }
        }
    }
}
