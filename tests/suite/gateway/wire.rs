//! Checks that only `platform/` contains names of the platform's protocol.

use std::fs;
use std::path::{Path, PathBuf};

/// Names of the platform's headers, calls and fields.
const NAMES: [&str; 20] = [
    "x-attempt-id",
    "x-server-seal",
    "x-expect-instance",
    "x-not-executed",
    "x-token-usage",
    "x-prefix-hash",
    "x-length-hint",
    "x-request-priority",
    "x-helpers",
    "x-tenant",
    "x-deadline-ms",
    "kv-key",
    "kv-range",
    "kv-watch",
    "kv-txn",
    "kv-lease",
    "cold_left_ms",
    "max_conns",
    "gap_target_ms",
    "op/config",
];

fn sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("a folder").flatten() {
        let path = entry.path();
        let name = entry.file_name();
        if path.is_dir() && !["tests", "target", "standin"].iter().any(|skip| name == *skip) {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn protocol_names_occur_only_in_the_platform_crate() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for dir in ["src", "crates", "examples", "benches"] {
        sources(&root.join(dir), &mut files);
    }
    assert!(files.len() > 100, "only {} files were found", files.len());
    for file in files {
        let text = fs::read_to_string(&file).expect("text").to_lowercase();
        let contained: Vec<&&str> = NAMES.iter().filter(|name| text.contains(**name)).collect();
        assert!(contained.is_empty(), "{} contains {contained:?}", file.display());
    }
}
