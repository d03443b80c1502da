//! Puts settings that changed in force while the process runs.
//!
//! The stop limit and the limits on retries take effect at once: the platform acts on its new
//! figures from the moment at which it writes them. All other settings wait for the next start,
//! since sockets, budgets and what peers were told depend on them.

use std::path::Path;
use std::time::Instant;

use mimosapass_operator::yaml::Loaded;

use super::settings::{self, Settings};
use super::state::Gateway;
use crate::settings_file::{log_invalid, log_unset};

/// Puts the text of the settings file in force; logs what changes, or its faults.
pub fn apply(gateway: &Gateway, path: &Path, text: &str) {
    let new = match settings::parse(text, path) {
        Ok(Loaded { value, unset }) => {
            log_unset(&unset);
            value
        }
        Err(faults) => return log_invalid(&faults),
    };
    let mut state = gateway.state();
    let (stop_limit, limits) = (state.stop_limit, state.retry_limits);
    state.stop_limit = new.stop_limit;
    if new.retry_limits != limits {
        state.set_retry_limits(new.retry_limits, Instant::now());
    }
    drop(state);
    if (new.stop_limit, new.retry_limits) != (stop_limit, limits) {
        log::info!(
            stop_limit_ms = new.stop_limit.as_millis() as u64,
            retry_ratio = new.retry_limits.ratio,
            retry_slack = new.retry_limits.slack,
            retry_window_ms = new.retry_limits.window.as_millis() as u64;
            "settings: limits changed and are in force."
        );
    }
    if !is_equal_otherwise(&gateway.settings, &new) {
        log::info!("settings: others changed too and are in force from the next start.");
    }
}

/// Returns whether the settings that wait for the next start are the same.
fn is_equal_otherwise(before: &Settings, new: &Settings) -> bool {
    let Settings { stop_limit, retry_limits, first_start, .. } = *before;
    *before == Settings { stop_limit, retry_limits, first_start, ..new.clone() }
}
