//! Commands that check, compare and change the configuration.

use std::path::Path;

use mimosapass_core::config::{Config, Target};
use mimosapass_core::ids::ConfigVersion;
use mimosapass_core::labels::{Selector, matches};
use mimosapass_keyvalue::kv::KvClient;
use mimosapass_keyvalue::members::{Member, MembersClient, Role};
use mimosapass_operator::document::{self, Document};
use mimosapass_operator::edit::{self, EditError};
use mimosapass_operator::store::{self, HeadRecord, StoreError, StoredHead};
use mimosapass_operator::yaml::Faults;
use similar::TextDiff;

use crate::error::CommandError;
use crate::show;
use crate::versions::history_record;

/// Attempts to apply an edit; each uses the newest text after a conflict.
const MAX_ATTEMPTS: usize = 8;

/// An edit of a configuration text.
pub type Edit = fn(&str, &Selector) -> Result<Document, EditError>;

/// Reads and validates a file.
pub fn read(file: &Path) -> Result<Document, CommandError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|e| CommandError::Invalid(Faults::single(e.to_string()).in_file(name.as_str())))?;
    document::parse(&text).map_err(|faults| CommandError::Invalid(faults.in_file(name)))
}

/// Shows what applying the file would change.
pub fn diff(kv: &KvClient, file: &Path) -> Result<(), CommandError> {
    let proposed = read(file)?;
    let stored = store::read_head(kv)?;
    let text = document_text(kv, &stored.record)?;
    if text == proposed.text {
        return Ok(());
    }
    let name = file.display().to_string();
    show(&unified_diff(&version_name(stored.record.version), &text, &name, &proposed.text));
    Err(CommandError::Differs)
}

/// Applies the file as the version after `base`, or after the current one.
pub fn apply(
    kv: &KvClient,
    file: &Path,
    base: Option<ConfigVersion>,
    author: &str,
) -> Result<(), CommandError> {
    let proposed = read(file)?;
    let stored = store::read_head(kv)?;
    let record = match base {
        Some(base) if base != stored.record.version => {
            let old = history_record(kv, base)?.unwrap_or_default();
            return Err(conflict(kv, &old, &proposed.text));
        }
        _ => stored.record.clone(),
    };
    if record.version > 0 && record.digest == proposed.digest {
        show(&format!("version {} already has this text\n", record.version));
        return Ok(());
    }
    show_accepted(&apply_document(kv, &proposed, &stored, author)?);
    Ok(())
}

/// Applies an edit of the list of drained targets.
pub fn edit(
    kv: &KvClient,
    members: &MembersClient,
    change: Edit,
    selector: &Selector,
    author: &str,
) -> Result<(), CommandError> {
    for _ in 0..MAX_ATTEMPTS {
        let stored = store::read_head(kv)?;
        if stored.record.version == 0 {
            return Err(CommandError::NotFound(
                "there is no configuration yet; use `apply`".to_owned(),
            ));
        }
        let edited = change(&document_text(kv, &stored.record)?, selector)?;
        match apply_document(kv, &edited, &stored, author) {
            Ok(record) => {
                show_accepted(&record);
                show(&matching_targets(members, &edited.config, selector));
                return Ok(());
            }
            // The edit is repeated on the newest text, so it does not revert the other change.
            Err(CommandError::Conflict { .. }) => {}
            Err(other) => return Err(other),
        }
    }
    Err(CommandError::Other(format!(
        "{MAX_ATTEMPTS} other changes came first; nothing was changed"
    )))
}

/// Adds a selector to the list of drained targets.
pub fn drain(text: &str, selector: &Selector) -> Result<Document, EditError> {
    edit::drain(text, selector)
}

/// Removes a selector from the list of drained targets.
pub fn undrain(text: &str, selector: &Selector) -> Result<Document, EditError> {
    edit::undrain(text, selector)
}

fn apply_document(
    kv: &KvClient,
    proposed: &Document,
    stored: &StoredHead,
    author: &str,
) -> Result<HeadRecord, CommandError> {
    match store::apply(kv, proposed, stored, author, rand::random()) {
        Ok(record) => Ok(record),
        Err(StoreError::Conflict(_)) => Err(conflict(kv, &stored.record, &proposed.text)),
        Err(other) => Err(other.into()),
    }
}

fn show_accepted(record: &HeadRecord) {
    show(&format!("version {} is accepted\n", record.version));
}

/// Returns a conflict with the diffs of both changes from the same base.
fn conflict(kv: &KvClient, base: &HeadRecord, proposed: &str) -> CommandError {
    let current = match store::read_head(kv) {
        Ok(stored) => stored.record,
        Err(e) => return e.into(),
    };
    let found = current.version;
    let changes = match (document_text(kv, base), document_text(kv, &current)) {
        (Ok(old), Ok(theirs)) => {
            let (from, to) = (version_name(base.version), version_name(found));
            let theirs = unified_diff(&from, &old, &format!("{to} by {}", current.author), &theirs);
            let ours = unified_diff(&from, &old, "this change", proposed);
            format!("{theirs}{ours}")
        }
        (Err(e), _) | (_, Err(e)) => format!("mimosactl: the changes cannot be shown: {e}\n"),
    };
    CommandError::Conflict { found, changes }
}

/// Returns the text of a record; it is empty for version 0.
pub fn document_text(kv: &KvClient, record: &HeadRecord) -> Result<String, CommandError> {
    if record.version == 0 {
        return Ok(String::new());
    }
    Ok(store::read_document(kv, record)?.text)
}

fn version_name(version: ConfigVersion) -> String {
    format!("version {version}")
}

fn unified_diff(from: &str, old: &str, to: &str, new: &str) -> String {
    TextDiff::from_lines(old, new).unified_diff().header(from, to).to_string()
}

/// Lists the targets in the platform's member list that match the selector.
fn matching_targets(members: &MembersClient, config: &Config, selector: &Selector) -> String {
    let Ok(members) = members.read() else { return String::new() };
    let labels = |m: &Member| {
        let configured: Option<&Target> = config.targets.iter().find(|t| *t.name == *m.name);
        let mut labels = m.labels.clone();
        labels.extend(configured.map(|t| t.labels.clone()).unwrap_or_default());
        labels
    };
    let targets = members.iter().filter(|m| m.role != Role::Entry);
    let matching: Vec<&str> =
        targets.filter(|m| matches(selector, &labels(m))).map(|m| m.name.as_str()).collect();
    format!("targets with these labels now: {}\n", matching.join(", "))
}
