//! What the configuration allows, and when that changed.

use std::collections::HashMap;
use std::time::Instant;

use super::plan::{Change, SERVICES};
use super::promises::CONFIG;

/// Path of the route that moves between services.
pub const MOVED: &str = "moved";
/// Path of the route that is dropped and added again.
pub const EXTRA: &str = "extra";
/// API key that is revoked and added again, and the path that requests with it have.
pub const SECOND_KEY: &str = "key-two";
pub const KEYED: &str = "look";

/// What each change has been; all begin as `true`.
#[derive(Debug, Default)]
pub struct Allowed {
    changes: HashMap<Change, (Instant, bool)>,
    /// Services of targets.
    services: HashMap<String, &'static str>,
}

impl Allowed {
    /// Records a change that begins or is acknowledged now.
    pub fn set(&mut self, change: Change, value: bool) {
        self.changes.insert(change, (Instant::now(), value));
    }

    /// Returns the value now in the store.
    pub fn current(&self, change: Change) -> bool {
        self.changes.get(&change).is_none_or(|(_, value)| *value)
    }

    /// Returns the value by which a request sent at `sent` has to be handled; `None` if it changed
    /// shortly before, or since. A route that moves is always there.
    pub fn at(&self, change: Change, sent: Instant) -> Option<bool> {
        let settled = self.changes.get(&change).is_none_or(|(at, _)| *at + CONFIG < sent);
        settled.then(|| self.current(change) || change == Change::Reroute)
    }

    /// Records the service of a target.
    pub fn serves(&mut self, target: &str, service: &'static str) {
        self.services.insert(target.to_owned(), service);
    }

    /// Returns what is wrong if a request was run by a service that its route has left.
    pub fn check_run(&self, target: &str, id: &str, sent: Instant) -> Option<String> {
        let change = id.ends_with(MOVED).then_some(Change::Reroute)?;
        self.at(change, sent)?;
        let service = SERVICES[usize::from(!self.current(change))];
        let own = self.services.get(target).filter(|own| **own != service)?;
        Some(format!("config: {id} was run by {target} of {own} instead of {service}"))
    }
}
