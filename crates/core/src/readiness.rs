//! Decides when a starting instance may report that it is ready.
//!
//! An instance stores no configuration across restarts, so it asks the
//! platform and all known peers and installs the highest version. A peer or a
//! platform that has not answered may have a higher version; the instance waits
//! for it only for a limited time. Versions learned later are still installed.

use std::fmt;
use std::time::{Duration, Instant};

use crate::ids::ConfigVersion;
use crate::version::Head;

/// Time to wait for the answers of peers and platform.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time to wait for the text of a higher version that was announced.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Why an instance is not ready yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotReady {
    /// No configuration is known.
    NoConfig {
        /// Whether the platform answered.
        platform: bool,
        /// Number of peers that answered.
        peers: usize,
    },
    /// A higher version was announced and is being read.
    Outdated(ConfigVersion),
    /// Platform or peers have not answered, and the wait has not timed out.
    AwaitingAnswers {
        /// Whether the platform answered.
        platform: bool,
        /// Number of peers that have not answered.
        silent: usize,
    },
}

impl fmt::Display for NotReady {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoConfig { platform: true, .. } => {
                write!(f, "no configuration yet: the key-value service has none")
            }
            Self::NoConfig { platform: false, peers: 0 } => write!(
                f,
                "no configuration yet: the key-value service does not answer and no peer \
                 does; nothing can be served until one of them does"
            ),
            Self::NoConfig { platform: false, peers } => write!(
                f,
                "no configuration yet: the key-value service does not answer and {peers} \
                 peers have none; nothing can be served until it does"
            ),
            Self::Outdated(version) => write!(f, "configuration version {version} is being read"),
            Self::AwaitingAnswers { platform: true, silent } => {
                write!(f, "{silent} peers have not reported their version yet")
            }
            Self::AwaitingAnswers { platform: false, silent } => write!(
                f,
                "the key-value service and {silent} peers have not reported their version yet"
            ),
        }
    }
}

/// Versions reported by the peers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerAnswers {
    /// Highest version that is active on a live peer.
    pub highest: ConfigVersion,
    /// Number of peers that answered.
    pub answered: usize,
    /// Number of listed peers that have not answered.
    pub silent: usize,
}

/// Readiness of an instance; once ready, it stays ready.
#[derive(Clone, Debug)]
pub struct Readiness {
    since: Instant,
    platform: Option<ConfigVersion>,
    ready: bool,
}

impl Readiness {
    /// Starts to wait for answers at `now`.
    pub fn new(now: Instant) -> Self {
        Self { since: now, platform: None, ready: false }
    }

    /// Records the version of the head in the key-value service, 0 for none.
    pub fn record_platform(&mut self, version: ConfigVersion) {
        self.platform = self.platform.max(Some(version));
    }

    /// Returns whether the head has to be read while `active` is the active version.
    pub fn needs_head(&self, active: ConfigVersion) -> bool {
        self.platform.is_none_or(|found| found > active)
    }

    /// Returns whether the instance became ready.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Decides whether the instance is ready with `active` as its configuration.
    ///
    /// # Errors
    ///
    /// Returns what the instance is waiting for.
    pub fn check(
        &mut self,
        active: Head,
        answers: PeerAnswers,
        now: Instant,
    ) -> Result<(), NotReady> {
        if self.ready {
            return Ok(());
        }
        let waited = now.saturating_duration_since(self.since);
        let answered = self.platform.is_some();
        let highest = self.platform.unwrap_or(0).max(answers.highest);
        if active.version == 0 && (highest == 0 || waited >= ANSWER_TIMEOUT) {
            return Err(NotReady::NoConfig { platform: answered, peers: answers.answered });
        }
        if active.version == 0 || (active.version < highest && waited < FETCH_TIMEOUT) {
            return Err(NotReady::Outdated(highest));
        }
        let complete = answered && answers.silent == 0;
        if !complete && waited < ANSWER_TIMEOUT {
            return Err(NotReady::AwaitingAnswers { platform: answered, silent: answers.silent });
        }
        self.ready = true;
        Ok(())
    }
}
