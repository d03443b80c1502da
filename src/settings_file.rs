//! The settings file of a running process.
//!
//! It may change with a signal or without one. A changed file is read at once at a signal, and
//! else once two reads in a row have found the same text, so that a file which is still being
//! written is not taken for a whole one.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use mimosapass_operator::yaml::Faults;

/// Interval between reads of the file.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Stack size of the thread that reads it.
const STACK_BYTES: usize = 256 * 1024;

/// Puts the text of the file in force, or logs in one line why not; the file is the first
/// argument.
pub type Apply = Box<dyn Fn(&Path, &str) + Send>;

/// A settings file that is followed while the process runs.
#[derive(Clone)]
pub struct SettingsFile {
    state: Arc<Mutex<State>>,
}

struct State {
    path: PathBuf,
    apply: Apply,
    /// What was put in force or reported last: the text, or why it cannot be read.
    known: Option<Result<String, String>>,
    /// What the last read has found, if it differs.
    pending: Option<Result<String, String>>,
}

impl std::fmt::Debug for SettingsFile {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SettingsFile").finish_non_exhaustive()
    }
}

impl SettingsFile {
    /// Follows a file on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn follow(path: &Path, apply: Apply) -> io::Result<Self> {
        let state = State { path: path.to_owned(), apply, known: None, pending: None };
        let file = Self { state: Arc::new(Mutex::new(state)) };
        let polled = file.clone();
        let poll = move || loop {
            thread::sleep(POLL_INTERVAL);
            polled.read(false);
        };
        let builder = thread::Builder::new().name("settings".to_owned()).stack_size(STACK_BYTES);
        builder.spawn(poll)?;
        Ok(file)
    }

    /// Puts the file in force as it is now, if it has changed.
    pub fn reload(&self) {
        self.read(true);
    }

    fn read(&self, at_once: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let found = fs::read_to_string(&state.path).map_err(|e| e.to_string());
        if state.known.as_ref() == Some(&found) {
            state.pending = None;
        } else if at_once || state.pending.as_ref() == Some(&found) {
            match &found {
                Ok(text) => (state.apply)(&state.path, text),
                Err(e) => log::error!(
                    "settings: {} cannot be read, what was in force stays: {e}.",
                    state.path.display()
                ),
            }
            state.known = Some(found);
            state.pending = None;
        } else {
            state.pending = Some(found);
        }
    }
}

/// Logs which fields have no value and take their defaults.
pub fn log_unset(unset: &Faults) {
    for field in &unset.list {
        log::warn!("settings: {}:{}: {}: {}.", unset.file, field.line, field.path, field.text);
    }
}

/// Logs in one line why a changed file is not put in force.
pub fn log_invalid(faults: &Faults) {
    let faults = faults.to_string().replace('\n', "; ");
    log::error!("settings: invalid, what was in force stays: {faults}.");
}
