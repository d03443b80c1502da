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
pub const ASK: Duration = Duration::from_secs(4);
/// Time after which a version that was heard of but cannot be read is let go.
pub const FETCH: Duration = Duration::from_secs(20);

/// Why an instance is not ready yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wait {
    /// No configuration is known; tells whether platform or peers answered.
    Nothing {
        /// Whether the platform answered.
        platform: bool,
        /// Number of peers that answered.
        peers: usize,
    },
    /// A higher version was heard of and is being read.
    Behind(ConfigVersion),
    /// Platform or peers have not answered, and time is left for them.
    Asking {
        /// Whether the platform answered.
        platform: bool,
        /// Number of peers that have not answered.
        silent: usize,
    },
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Nothing { platform: true, .. } => {
                write!(f, "no configuration yet: there is none in the key-value service")
            }
            Self::Nothing { platform: false, peers: 0 } => write!(
                f,
                "no configuration yet: the key-value service does not answer and no peer \
                 does; nothing can be served until one of them does"
            ),
            Self::Nothing { platform: false, peers } => write!(
                f,
                "no configuration yet: the key-value service does not answer and {peers} \
                 peers have none; nothing can be served until it does"
            ),
            Self::Behind(version) => write!(f, "version {version} is being read"),
            Self::Asking { platform: true, silent } => {
                write!(f, "{silent} peers have not told their version yet")
            }
            Self::Asking { platform: false, silent } => write!(
                f,
                "the key-value service and {silent} peers have not told their version yet"
            ),
        }
    }
}

/// What the platform and the peers said.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Told {
    /// Highest version that peers alive have in force.
    pub highest: ConfigVersion,
    /// Peers that said something.
    pub heard: usize,
    /// Peers that are listed and said nothing.
    pub silent: usize,
}

/// The entrance of an instance; once passed it stays open.
#[derive(Clone, Debug)]
pub struct Join {
    since: Instant,
    platform: Option<ConfigVersion>,
    joined: bool,
}

impl Join {
    /// Begins to ask at `now`.
    pub fn new(now: Instant) -> Self {
        Self { since: now, platform: None, joined: false }
    }

    /// Notes the version of the head in the key-value service, 0 for none.
    pub fn platform(&mut self, version: ConfigVersion) {
        self.platform = self.platform.max(Some(version));
    }

    /// Returns whether the head has to be read with `mine` in force.
    pub fn seeks(&self, mine: ConfigVersion) -> bool {
        self.platform.is_none_or(|found| found > mine)
    }

    /// Returns whether the entrance was passed.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// Decides whether the instance may be ready with `mine` in force.
    ///
    /// # Errors
    ///
    /// Says what is being waited for.
    pub fn check(&mut self, mine: Head, told: Told, now: Instant) -> Result<(), Wait> {
        if self.joined {
            return Ok(());
        }
        let asked = now.saturating_duration_since(self.since);
        let answered = self.platform.is_some();
        let highest = self.platform.unwrap_or(0).max(told.highest);
        if mine.version == 0 && (highest == 0 || asked >= ASK) {
            return Err(Wait::Nothing { platform: answered, peers: told.heard });
        }
        if mine.version == 0 || (mine.version < highest && asked < FETCH) {
            return Err(Wait::Behind(highest));
        }
        let complete = answered && told.silent == 0;
        if !complete && asked < ASK {
            return Err(Wait::Asking { platform: answered, silent: told.silent });
        }
        self.joined = true;
        Ok(())
    }
}
