//! Commands that read the current configuration and previous versions.

use mimosapass_core::ids::ConfigVersion;
use mimosapass_keyvalue::kv::KvClient;
use mimosapass_operator::store::{self, HeadRecord, StoreError};

use crate::change::document_text;
use crate::error::CommandError;
use crate::show;
use crate::table::table;

/// Returns the history record of a version, if there is one.
pub fn history_record(
    kv: &KvClient,
    version: ConfigVersion,
) -> Result<Option<HeadRecord>, CommandError> {
    let entry = kv.get(&store::history_key(version)).map_err(StoreError::Kv)?;
    let parsed = entry.map(|e| store::parse_head(&e.value, e.revision)).transpose()?;
    Ok(parsed.map(|stored| stored.record))
}

/// Prints a configuration.
pub fn get(kv: &KvClient, version: Option<ConfigVersion>) -> Result<(), CommandError> {
    let head = store::read_head(kv)?.record;
    let record = match version {
        Some(version) if version != head.version => {
            history_record(kv, version)?.unwrap_or_default()
        }
        _ => head,
    };
    if record.version == 0 {
        return Err(CommandError::NotFound(
            "there is no such configuration; see `history`".to_owned(),
        ));
    }
    eprintln!("mimosactl: version {} by {}", record.version, record.author);
    show(&document_text(kv, &record)?);
    Ok(())
}

/// Lists the last versions, newest first.
pub fn history(kv: &KvClient, last: u64) -> Result<(), CommandError> {
    let head = store::read_head(kv)?.record;
    let oldest = (head.version + 1).saturating_sub(last).max(1);
    let mut rows = vec![["VERSION", "AUTHOR", "DIGEST"].map(str::to_owned)];
    for version in (oldest..=head.version).rev() {
        let record =
            if version == head.version { Some(head.clone()) } else { history_record(kv, version)? };
        let (author, digest) = record.map_or_else(
            || ("not recorded".to_owned(), String::new()),
            |r| (r.author, format!("{:016x}", r.digest)),
        );
        rows.push([version.to_string(), author, digest]);
    }
    if rows.len() == 1 {
        return Err(CommandError::NotFound(
            "there is no configuration yet; use `apply`".to_owned(),
        ));
    }
    show(&table(&rows));
    Ok(())
}
