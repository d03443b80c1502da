//! Commands that change the configuration or say what would change.

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

use crate::fail::Fail;
use crate::show;
use crate::versions::past;

/// Times that a drain is tried again on the newest text after a lost race.
const RACES: usize = 8;

/// An edit of a configuration text.
pub type Edit = fn(&str, &Selector) -> Result<Document, EditError>;

/// Reads and checks a file.
pub fn read(file: &Path) -> Result<Document, Fail> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|e| Fail::Faults(Faults::single(e.to_string()).in_file(name.as_str())))?;
    document::parse(&text).map_err(|faults| Fail::Faults(faults.in_file(name)))
}

/// Shows what applying the file would change.
pub fn diff(kv: &KvClient, file: &Path) -> Result<(), Fail> {
    let mine = read(file)?;
    let stored = store::read_head(kv)?;
    let text = text(kv, &stored.record)?;
    if text == mine.text {
        return Ok(());
    }
    let name = file.display().to_string();
    show(&differences(&version_name(stored.record.version), &text, &name, &mine.text));
    Err(Fail::Differs)
}

/// Applies the file as the version after `base`, or after the present one.
pub fn apply(
    kv: &KvClient,
    file: &Path,
    base: Option<ConfigVersion>,
    author: &str,
) -> Result<(), Fail> {
    let mine = read(file)?;
    let stored = store::read_head(kv)?;
    let record = match base {
        Some(base) if base != stored.record.version => {
            let old = past(kv, base)?.unwrap_or_default();
            return Err(lost(kv, &old, &mine.text));
        }
        _ => stored.record.clone(),
    };
    if record.version > 0 && record.digest == mine.digest {
        show(&format!("version {} is this text already\n", record.version));
        return Ok(());
    }
    accepted(&put(kv, &mine, &stored, author)?);
    Ok(())
}

/// Applies an edit of the selectors of drained targets.
pub fn edit(
    kv: &KvClient,
    list: &MembersClient,
    change: Edit,
    by: &Selector,
    author: &str,
) -> Result<(), Fail> {
    for _ in 0..RACES {
        let stored = store::read_head(kv)?;
        if stored.record.version == 0 {
            return Err(Fail::Absent("there is no configuration yet; use `apply`".to_owned()));
        }
        let edited = change(&text(kv, &stored.record)?, by)?;
        match put(kv, &edited, &stored, author) {
            Ok(record) => {
                accepted(&record);
                show(&concerned(list, &edited.config, by));
                return Ok(());
            }
            // The edit is made again on the newest text: it takes nothing back.
            Err(Fail::Lost { .. }) => {}
            Err(other) => return Err(other),
        }
    }
    Err(Fail::Told(format!("{RACES} other changes came first; nothing was changed")))
}

/// Adds a selector to the drained ones.
pub fn drain(text: &str, by: &Selector) -> Result<Document, EditError> {
    edit::drain(text, by)
}

/// Removes a selector from the drained ones.
pub fn undrain(text: &str, by: &Selector) -> Result<Document, EditError> {
    edit::undrain(text, by)
}

fn put(
    kv: &KvClient,
    mine: &Document,
    stored: &StoredHead,
    author: &str,
) -> Result<HeadRecord, Fail> {
    match store::apply(kv, mine, stored, author, rand::random()) {
        Ok(record) => Ok(record),
        Err(StoreError::Conflict(_)) => Err(lost(kv, &stored.record, &mine.text)),
        Err(other) => Err(other.into()),
    }
}

fn accepted(record: &HeadRecord) {
    show(&format!("version {} is accepted\n", record.version));
}

/// Shows the other change and ours, both from the text that ours began with.
fn lost(kv: &KvClient, base: &HeadRecord, mine: &str) -> Fail {
    let now = match store::read_head(kv) {
        Ok(stored) => stored.record,
        Err(e) => return e.into(),
    };
    let found = now.version;
    let changes = match (text(kv, base), text(kv, &now)) {
        (Ok(old), Ok(theirs)) => {
            let (from, to) = (version_name(base.version), version_name(found));
            let theirs = differences(&from, &old, &format!("{to} by {}", now.author), &theirs);
            let ours = differences(&from, &old, "this change", mine);
            format!("{theirs}{ours}")
        }
        (Err(e), _) | (_, Err(e)) => format!("mimosactl: the changes cannot be shown: {e}\n"),
    };
    Fail::Lost { found, changes }
}

/// Returns the text of a record; an absent one is empty.
pub fn text(kv: &KvClient, record: &HeadRecord) -> Result<String, Fail> {
    if record.version == 0 {
        return Ok(String::new());
    }
    Ok(store::read_document(kv, record)?.text)
}

fn version_name(version: ConfigVersion) -> String {
    format!("version {version}")
}

fn differences(from: &str, old: &str, to: &str, new: &str) -> String {
    TextDiff::from_lines(old, new).unified_diff().header(from, to).to_string()
}

/// Names the targets in the platform's list that the selector fits.
fn concerned(list: &MembersClient, config: &Config, by: &Selector) -> String {
    let Ok(members) = list.read() else { return String::new() };
    let labels = |m: &Member| {
        let stated: Option<&Target> = config.targets.iter().find(|t| *t.name == *m.name);
        let mut labels = m.labels.clone();
        labels.extend(stated.map(|t| t.labels.clone()).unwrap_or_default());
        labels
    };
    let targets = members.iter().filter(|m| m.role != Role::Entry);
    let fitting: Vec<&str> =
        targets.filter(|m| matches(by, &labels(m))).map(|m| m.name.as_str()).collect();
    format!("targets with these labels now: {}\n", fitting.join(", "))
}
