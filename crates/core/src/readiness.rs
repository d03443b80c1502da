//! When a new instance may say that it is ready: not with the first version.
//!
//! A new instance keeps nothing from before, so it asks the platform and all
//! peers that it was told of, and takes the highest version. A silent peer may
//! know a higher one, as may a platform that is down; it is waited for only
//! for a stated time. What is heard later still goes up.

use std::fmt;
use std::time::{Duration, Instant};

use crate::ids::ConfigVersion;
use crate::version::Head;

/// Time for which peers and platform that have not answered are waited for.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a version that was heard of but cannot be read is let go.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Why an instance is not ready yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotReady {
    /// No configuration is known; tells whether platform or peers answered.
    NoConfig {
        /// Whether the platform answered.
        platform: bool,
        /// Number of peers that answered.
        peers: usize,
    },
    /// A higher version was heard of and is being read.
    Outdated(ConfigVersion),
    /// Platform or peers have not answered, and time is left for them.
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
                write!(f, "no configuration yet: there is none in the key-value service")
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
            Self::Outdated(version) => write!(f, "version {version} is being read"),
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

/// What the platform and the peers said.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerAnswers {
    /// Highest version that peers alive have in force.
    pub highest: ConfigVersion,
    /// Peers that said something.
    pub answered: usize,
    /// Peers that are listed and said nothing.
    pub silent: usize,
}

/// The entrance of an instance; once passed it stays open.
#[derive(Clone, Debug)]
pub struct Readiness {
    since: Instant,
    platform: Option<ConfigVersion>,
    ready: bool,
}

impl Readiness {
    /// Begins to ask at `now`.
    pub fn new(now: Instant) -> Self {
        Self { since: now, platform: None, ready: false }
    }

    /// Notes the version of the head in the key-value service, 0 for none.
    pub fn record_platform(&mut self, version: ConfigVersion) {
        self.platform = self.platform.max(Some(version));
    }

    /// Returns whether the head has to be read with `mine` in force.
    pub fn needs_head(&self, mine: ConfigVersion) -> bool {
        self.platform.is_none_or(|found| found > mine)
    }

    /// Returns whether the entrance was passed.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Decides whether the instance may be ready with `mine` in force.
    ///
    /// # Errors
    ///
    /// Says what is being waited for.
    pub fn check(
        &mut self,
        mine: Head,
        answers: PeerAnswers,
        now: Instant,
    ) -> Result<(), NotReady> {
        if self.ready {
            return Ok(());
        }
        let asked = now.saturating_duration_since(self.since);
        let answered = self.platform.is_some();
        let highest = self.platform.unwrap_or(0).max(answers.highest);
        if mine.version == 0 && (highest == 0 || asked >= ANSWER_TIMEOUT) {
            return Err(NotReady::NoConfig { platform: answered, peers: answers.answered });
        }
        if mine.version == 0 || (mine.version < highest && asked < FETCH_TIMEOUT) {
            return Err(NotReady::Outdated(highest));
        }
        let complete = answered && answers.silent == 0;
        if !complete && asked < ANSWER_TIMEOUT {
            return Err(NotReady::AwaitingAnswers { platform: answered, silent: answers.silent });
        }
        self.ready = true;
        Ok(())
    }
}
