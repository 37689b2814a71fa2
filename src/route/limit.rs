//! Limits the concurrent calls of one node on each route.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use crate::clock::lock;
use crate::ids::RouteName;

/// Counts the calls in flight on each route. Clones share the same counts.
#[derive(Debug, Clone, Default)]
pub struct RouteLimiter {
    counts: Arc<Mutex<HashMap<RouteName, u32>>>,
}

/// A call on a route, counted as in flight until this permit is dropped.
#[derive(Debug)]
pub struct RoutePermit {
    limiter: RouteLimiter,
    route: RouteName,
}

impl RouteLimiter {
    /// Returns a limiter without any call in flight.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call as in flight, or returns `None` if `max_concurrent` calls
    /// already are. Without a maximum, the call is always admitted.
    pub fn try_acquire(
        &self,
        route: &RouteName,
        max_concurrent: Option<u32>,
    ) -> Option<RoutePermit> {
        let mut counts = lock(&self.counts);
        let count = counts.entry(route.clone()).or_default();
        if max_concurrent.is_some_and(|max_concurrent| *count >= max_concurrent) {
            return None;
        }
        *count += 1;
        Some(RoutePermit {
            limiter: self.clone(),
            route: route.clone(),
        })
    }
}

impl Drop for RoutePermit {
    fn drop(&mut self) {
        let mut counts = lock(&self.limiter.counts);
        if let Some(count) = counts.get_mut(&self.route) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.route);
            }
        }
    }
}
