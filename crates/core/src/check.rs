//! Checks of the operators' configuration as a whole.

use std::collections::BTreeSet;

use crate::config::{Accept, Class, Config, Fault, Pool, TargetKind};
use crate::labels::{Selector, matches};

/// Longest time that a class may state, in milliseconds.
const LONGEST_MS: u64 = 86_400_000;
/// Longest name or label, in bytes.
const LONGEST_NAME: usize = 128;
/// Largest share of a workspace.
const LARGEST_SHARE: u32 = 1000;
/// Highest priority of a class.
const HIGHEST: u8 = 100;

/// Faults found so far.
#[derive(Debug, Default)]
struct Found(Vec<Fault>);

impl Found {
    fn add(&mut self, path: impl Into<String>, text: impl Into<String>) {
        self.0.push(Fault { path: path.into(), text: text.into() });
    }

    fn need(&mut self, holds: bool, path: String, text: &str) {
        if !holds {
            self.add(path, text);
        }
    }

    /// Requires names that are sound and differ.
    fn names<'a>(&mut self, list: &str, field: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (i, name) in names.enumerate() {
            let path = format!("{list}[{i}]{field}");
            if !sound(name) {
                let text = format!(
                    "`{name}` is no name; write 1 to {LONGEST_NAME} letters, digits or `-_./:`"
                );
                self.add(path, text);
            } else if !seen.insert(name) {
                self.add(path, format!("`{name}` stands twice; rename one"));
            }
        }
    }

    /// Requires that each name stands in another list.
    fn known<'a>(
        &mut self,
        path: &str,
        names: impl Iterator<Item = &'a str>,
        list: &str,
        known: impl Fn(&str) -> bool,
    ) {
        for (i, name) in names.enumerate().filter(|(_, name)| !known(name)) {
            let text = format!("`{name}` does not stand under `{list}`; add it there");
            self.add(format!("{path}[{i}]"), text);
        }
    }
}

fn sound(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_./:".contains(&b);
    (1..=LONGEST_NAME).contains(&name.len()) && name.bytes().all(plain)
}

impl Config {
    /// Returns every fault; an empty list means that the configuration holds.
    pub fn check(&self) -> Vec<Fault> {
        let mut found = Found::default();
        self.check_names(&mut found);
        self.check_models(&mut found);
        self.check_services(&mut found);
        for (i, class) in self.classes.iter().enumerate() {
            self.check_accept(&format!("classes[{i}].accept"), &class.accept, &mut found);
            self.check_select(&format!("classes[{i}].select"), class, &mut found);
            check_times(&format!("classes[{i}]"), class, &mut found);
        }
        self.check_workspaces(&mut found);
        for (i, selector) in self.drained.iter().enumerate() {
            let text = "an empty selector drains every target; name a label";
            found.need(!selector.is_empty(), format!("drained[{i}]"), text);
        }
        found.0
    }

    fn check_names(&self, found: &mut Found) {
        found.names("models", ".name", self.models.iter().map(|m| m.name.as_ref()));
        found.names("pools", ".name", self.pools.iter().map(|p| p.name.as_ref()));
        found.names("classes", ".name", self.classes.iter().map(|c| c.name.as_ref()));
        found.names("services", ".name", self.services.iter().map(|s| s.name.as_str()));
        found.names("workspaces", ".name", self.workspaces.iter().map(|w| w.name.as_ref()));
        found.names("targets", ".name", self.targets.iter().map(|t| t.name.as_ref()));
        for (i, model) in self.models.iter().enumerate() {
            let adapters = model.adapters.iter().map(String::as_str);
            found.names(&format!("models[{i}].adapters"), "", adapters);
            let text = "`:` parts model and adapter; leave it out of the name";
            found.need(!model.name.contains(':'), format!("models[{i}].name"), text);
        }
        found.need(!self.pools.is_empty(), "pools".to_owned(), "there is none; write one");
        found.need(!self.classes.is_empty(), "classes".to_owned(), "there is none; write one");
    }

    fn check_models(&self, found: &mut Found) {
        for (i, pool) in self.pools.iter().enumerate() {
            let path = format!("pools[{i}].models");
            let names = pool.models.iter().map(AsRef::as_ref);
            found.known(&path, names, "models", |name| self.model(name).is_some());
            let fits = pool.kind == TargetKind::Engine || pool.models.is_empty();
            found.need(fits, path, "a pool of services carries no models; remove them");
        }
        for (i, model) in self.models.iter().enumerate() {
            let carried = self.pools.iter().any(|p| p.models.contains(&model.name));
            let text = "no pool carries this model; name it under `models` of a pool";
            found.need(carried, format!("models[{i}].name"), text);
        }
    }

    fn check_services(&self, found: &mut Found) {
        for (i, service) in self.services.iter().enumerate() {
            let pool = self.pools.iter().find(|p| p.name == service.pool);
            if pool.is_none_or(|p| p.kind != TargetKind::Service) {
                let text = format!("`{}` is no pool with `kind: service`; name one", service.pool);
                found.add(format!("services[{i}].pool"), text);
            }
        }
    }

    fn check_accept(&self, path: &str, accept: &Accept, found: &mut Found) {
        let models = accept.models.iter().map(AsRef::as_ref);
        found.known(&format!("{path}.models"), models, "models", |n| self.model(n).is_some());
        let services = accept.services.iter().map(String::as_str);
        found.known(&format!("{path}.services"), services, "services", |n| {
            self.service(n).is_some()
        });
        let spaces = accept.workspaces.iter().map(AsRef::as_ref);
        found.known(&format!("{path}.workspaces"), spaces, "workspaces", |n| {
            self.workspace(n).is_some()
        });
        let both = !accept.models.is_empty() && !accept.services.is_empty();
        let text = "a class takes models or services; write two classes";
        found.need(!both, format!("{path}.services"), text);
        let least = accept.min_tokens.unwrap_or(0);
        let text = "it is under `min_tokens`, so no prompt fits; write more";
        let fits = accept.max_tokens.is_none_or(|most| most >= least);
        found.need(fits, format!("{path}.max_tokens"), text);
        let labelled = |selector: &Selector| {
            selector.is_empty() || self.workspaces.iter().any(|w| matches(selector, &w.labels))
        };
        let text = "no workspace has these labels; change the selector or label one";
        found.need(labelled(&accept.labels), format!("{path}.labels"), text);
    }

    /// Requires that a class finds a pool for all that it accepts.
    fn check_select(&self, path: &str, class: &Class, found: &mut Found) {
        let pools: Vec<&Pool> =
            self.pools.iter().filter(|p| matches(&class.select, &p.labels)).collect();
        if pools.is_empty() {
            found.add(path, "no pool has these labels; change the selector or label a pool");
            return;
        }
        for name in &class.accept.models {
            if !pools.iter().any(|p| p.models.contains(name)) {
                let text = format!("no pool that it selects carries `{name}`; change one of them");
                found.add(path, text);
            }
        }
        for name in &class.accept.services {
            let pool = self.service(name).map(|s| &s.pool);
            if pool.is_some_and(|pool| !pools.iter().any(|p| p.name == *pool)) {
                let text = format!("it leaves out the pool of `{name}`; change one of them");
                found.add(path, text);
            }
        }
    }

    fn check_workspaces(&self, found: &mut Found) {
        for (i, space) in self.workspaces.iter().enumerate() {
            if !(1..=LARGEST_SHARE).contains(&space.share) {
                let text = format!("{} is out of range; write 1 to {LARGEST_SHARE}", space.share);
                found.add(format!("workspaces[{i}].share"), text);
            }
            let text = "0 shuts the workspace out; write 1 or more, or remove the workspace";
            found.need(space.in_flight > 0, format!("workspaces[{i}].in_flight"), text);
        }
    }
}

fn check_times(path: &str, class: &Class, found: &mut Found) {
    if class.priority > HIGHEST {
        let text = format!("{} is over {HIGHEST}; write 0 to {HIGHEST}", class.priority);
        found.add(format!("{path}.priority"), text);
    }
    let text = "write milliseconds, 1 to 86400000";
    let sound = (1..=LONGEST_MS).contains(&class.deadline_ms);
    found.need(sound, format!("{path}.deadline_ms"), text);
    let text = "write milliseconds, from 1 to `deadline_ms`";
    let sound = (1..=class.deadline_ms.max(1)).contains(&class.promise_ms);
    found.need(sound, format!("{path}.promise_ms"), text);
    let text = "0 lets nothing wait; write 1 or more";
    found.need(class.queue > 0, format!("{path}.queue"), text);
}
