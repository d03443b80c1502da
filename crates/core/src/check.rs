//! Validation of the operators' configuration.

use std::collections::BTreeSet;

use crate::config::{Accept, Class, Config, Fault, Pool, TargetKind};
use crate::labels::{Selector, matches};

/// Upper limit of the deadline of a class: 24 hours.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Longest valid name.
const MAX_NAME_BYTES: usize = 128;
/// Largest share of a workspace.
const MAX_SHARE: u32 = 1000;
/// Highest priority of a class.
const MAX_PRIORITY: u8 = 100;

#[derive(Debug, Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn add(&mut self, path: impl Into<String>, text: impl Into<String>) {
        self.0.push(Fault { path: path.into(), text: text.into() });
    }

    fn require(&mut self, holds: bool, path: String, text: &str) {
        if !holds {
            self.add(path, text);
        }
    }

    /// Requires that all names are valid and unique.
    fn names<'a>(&mut self, list: &str, field: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (i, name) in names.enumerate() {
            let path = format!("{list}[{i}]{field}");
            if !valid_name(name) {
                let text = format!(
                    "`{name}` is not a valid name; write 1 to {MAX_NAME_BYTES} letters, digits or `-_./:`"
                );
                self.add(path, text);
            } else if !seen.insert(name) {
                self.add(path, format!("`{name}` appears twice; rename one"));
            }
        }
    }

    /// Requires that each name is listed in `list`.
    fn listed<'a>(
        &mut self,
        path: &str,
        names: impl Iterator<Item = &'a str>,
        list: &str,
        listed: impl Fn(&str) -> bool,
    ) {
        for (i, name) in names.enumerate().filter(|(_, name)| !listed(name)) {
            let text = format!("`{name}` is not listed under `{list}`; add it there");
            self.add(format!("{path}[{i}]"), text);
        }
    }
}

fn valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_./:".contains(&b);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

impl Config {
    /// Returns all faults; an empty list means that the configuration is valid.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Faults::default();
        self.check_names(&mut faults);
        self.check_models(&mut faults);
        self.check_services(&mut faults);
        for (i, class) in self.classes.iter().enumerate() {
            self.check_accept(&format!("classes[{i}].accept"), &class.accept, &mut faults);
            self.check_select(&format!("classes[{i}].select"), class, &mut faults);
            check_times(&format!("classes[{i}]"), class, &mut faults);
        }
        self.check_workspaces(&mut faults);
        for (i, selector) in self.drained.iter().enumerate() {
            let text = "an empty selector drains every target; name a label";
            faults.require(!selector.is_empty(), format!("drained[{i}]"), text);
        }
        faults.0
    }

    fn check_names(&self, faults: &mut Faults) {
        faults.names("models", ".name", self.models.iter().map(|m| m.name.as_ref()));
        faults.names("pools", ".name", self.pools.iter().map(|p| p.name.as_ref()));
        faults.names("classes", ".name", self.classes.iter().map(|c| c.name.as_ref()));
        faults.names("services", ".name", self.services.iter().map(|s| s.name.as_str()));
        faults.names("workspaces", ".name", self.workspaces.iter().map(|w| w.name.as_ref()));
        faults.names("targets", ".name", self.targets.iter().map(|t| t.name.as_ref()));
        for (i, model) in self.models.iter().enumerate() {
            let adapters = model.adapters.iter().map(String::as_str);
            faults.names(&format!("models[{i}].adapters"), "", adapters);
            let text = "`:` separates model and adapter; leave it out of the name";
            faults.require(!model.name.contains(':'), format!("models[{i}].name"), text);
        }
        faults.require(!self.pools.is_empty(), "pools".to_owned(), "the list is empty; add one");
        faults.require(
            !self.classes.is_empty(),
            "classes".to_owned(),
            "the list is empty; add one",
        );
    }

    fn check_models(&self, faults: &mut Faults) {
        for (i, pool) in self.pools.iter().enumerate() {
            let path = format!("pools[{i}].models");
            let names = pool.models.iter().map(AsRef::as_ref);
            faults.listed(&path, names, "models", |name| self.model(name).is_some());
            let fits = pool.kind == TargetKind::Engine || pool.models.is_empty();
            faults.require(fits, path, "a pool of services cannot serve models; remove them");
        }
        for (i, model) in self.models.iter().enumerate() {
            let served = self.pools.iter().any(|p| p.models.contains(&model.name));
            let text = "no pool serves this model; list it under `models` of a pool";
            faults.require(served, format!("models[{i}].name"), text);
        }
    }

    fn check_services(&self, faults: &mut Faults) {
        for (i, service) in self.services.iter().enumerate() {
            let pool = self.pools.iter().find(|p| p.name == service.pool);
            if pool.is_none_or(|p| p.kind != TargetKind::Service) {
                let text =
                    format!("`{}` is not a pool with `kind: service`; name one", service.pool);
                faults.add(format!("services[{i}].pool"), text);
            }
        }
    }

    fn check_accept(&self, path: &str, accept: &Accept, faults: &mut Faults) {
        let models = accept.models.iter().map(AsRef::as_ref);
        faults.listed(&format!("{path}.models"), models, "models", |n| self.model(n).is_some());
        let services = accept.services.iter().map(String::as_str);
        faults.listed(&format!("{path}.services"), services, "services", |n| {
            self.service(n).is_some()
        });
        let workspaces = accept.workspaces.iter().map(AsRef::as_ref);
        faults.listed(&format!("{path}.workspaces"), workspaces, "workspaces", |n| {
            self.workspace(n).is_some()
        });
        let both = !accept.models.is_empty() && !accept.services.is_empty();
        let text = "a class accepts either models or services; split it into two classes";
        faults.require(!both, format!("{path}.services"), text);
        let min = accept.min_tokens.unwrap_or(0);
        let text = "it is less than `min_tokens`, so no prompt fits; increase it";
        let fits = accept.max_tokens.is_none_or(|max| max >= min);
        faults.require(fits, format!("{path}.max_tokens"), text);
        let labelled = |selector: &Selector| {
            selector.is_empty() || self.workspaces.iter().any(|w| matches(selector, &w.labels))
        };
        let text = "no workspace has these labels; change the selector or label one";
        faults.require(labelled(&accept.labels), format!("{path}.labels"), text);
    }

    /// Requires a selected pool for each model and service that a class accepts.
    fn check_select(&self, path: &str, class: &Class, faults: &mut Faults) {
        let pools: Vec<&Pool> =
            self.pools.iter().filter(|p| matches(&class.select, &p.labels)).collect();
        if pools.is_empty() {
            faults.add(path, "no pool has these labels; change the selector or label a pool");
            return;
        }
        for name in &class.accept.models {
            if !pools.iter().any(|p| p.models.contains(name)) {
                let text = format!("no pool that it selects serves `{name}`; change one of them");
                faults.add(path, text);
            }
        }
        for name in &class.accept.services {
            let pool = self.service(name).map(|s| &s.pool);
            if pool.is_some_and(|pool| !pools.iter().any(|p| p.name == *pool)) {
                let text = format!("it does not select the pool of `{name}`; change one of them");
                faults.add(path, text);
            }
        }
    }

    fn check_workspaces(&self, faults: &mut Faults) {
        for (i, workspace) in self.workspaces.iter().enumerate() {
            if !(1..=MAX_SHARE).contains(&workspace.share) {
                let text = format!("{} is out of range; write 1 to {MAX_SHARE}", workspace.share);
                faults.add(format!("workspaces[{i}].share"), text);
            }
            let text = "0 blocks the workspace; write 1 or more, or remove the workspace";
            faults.require(workspace.in_flight > 0, format!("workspaces[{i}].in_flight"), text);
        }
    }
}

fn check_times(path: &str, class: &Class, faults: &mut Faults) {
    if class.priority > MAX_PRIORITY {
        let text = format!("{} is over {MAX_PRIORITY}; write 0 to {MAX_PRIORITY}", class.priority);
        faults.add(format!("{path}.priority"), text);
    }
    let text = "write milliseconds, 1 to 86400000";
    let valid = (1..=MAX_DEADLINE_MS).contains(&class.deadline_ms);
    faults.require(valid, format!("{path}.deadline_ms"), text);
    let text = "write milliseconds, from 1 to `deadline_ms`";
    let valid = (1..=class.deadline_ms.max(1)).contains(&class.promise_ms);
    faults.require(valid, format!("{path}.promise_ms"), text);
    let text = "0 lets no request wait; write 1 or more";
    faults.require(class.queue > 0, format!("{path}.queue"), text);
}
