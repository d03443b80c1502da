//! Limits that targets state in their answers.
//!
//! A target in need states how many requests a second it takes from all instances together.
//! Instances tell each other of limits and of what they sent, and count it against one account
//! ([`shared_rate`](crate::edge::shared_rate)).
//!
//! Two instances may learn different limits at the same time. Each change has a version above
//! those known where it was read, and the higher one holds everywhere.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::edge::shared_rate::{Senders, SharedRate};
use crate::ids::{InstanceId, TargetId};

/// Time for which peers are told that a limit has ended: three heartbeats at least.
const ENDED_TIME: Duration = Duration::from_secs(4);

/// What is known of the limit of one target.
#[derive(Clone, Debug)]
struct Limit {
    /// Higher with each change.
    version: u64,
    /// The account; `None` if the limit has ended.
    account: Option<SharedRate>,
    /// When the rate was learned; of a limit that has ended, when a peer last told of it.
    since: Instant,
    /// When peers were last told of it.
    told: Option<Instant>,
}

impl Limit {
    fn rate(&self) -> Option<f64> {
        self.account.as_ref().map(SharedRate::rate)
    }

    /// Returns the key by which two statements are ordered.
    fn order(version: u64, rate: Option<f64>) -> (u64, bool, u64) {
        (version, rate.is_none(), rate.unwrap_or_default().to_bits())
    }
}

/// Effect of a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// Nothing new.
    Known,
    /// The target has another limit from now on, in requests a second.
    Limited(f64),
    /// The target has no limit any more.
    Ended,
}

/// What an instance tells its peers of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The target.
    pub id: TargetId,
    /// Version of the statement.
    pub version: u64,
    /// Requests a second; `None` if the limit has ended.
    pub rate: Option<f64>,
}

/// Limits by target.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    by_target: HashMap<TargetId, Limit>,
    senders: Senders,
}

impl Limits {
    /// Applies what the answer to a request states that was sent at `sent_at`; no `rate` is no
    /// limit.
    ///
    /// An answer without a limit ends one only if its request was sent after the limit was
    /// learned, since answers may overtake each other.
    pub fn state(
        &mut self,
        id: &TargetId,
        rate: Option<f64>,
        sent_at: Instant,
        now: Instant,
    ) -> Statement {
        let known = self.by_target.get(id);
        let known_rate = known.and_then(Limit::rate);
        let news = match rate {
            Some(rate) => known_rate.is_none_or(|known| known.to_bits() != rate.to_bits()),
            None => known_rate.is_some() && known.is_some_and(|limit| sent_at > limit.since),
        };
        if !news {
            return Statement::Known;
        }
        let version = known.map_or(0, |limit| limit.version) + 1;
        self.replace(id, version, rate, now)
    }

    /// Applies what a peer tells of a target.
    pub fn merge(&mut self, report: &Report, now: Instant) -> Statement {
        let Report { id, version, rate } = report;
        let Some(known) = self.by_target.get_mut(id) else {
            return match rate {
                Some(_) => self.replace(id, *version, *rate, now),
                None => Statement::Known,
            };
        };
        let known_order = Limit::order(known.version, known.rate());
        let order = Limit::order(*version, *rate);
        if order > known_order {
            return self.replace(id, *version, *rate, now);
        }
        if order < known_order {
            // The peer has not been told yet.
            known.told = None;
            if known.account.is_none() {
                known.since = now;
            }
        }
        Statement::Known
    }

    fn replace(
        &mut self,
        id: &TargetId,
        version: u64,
        rate: Option<f64>,
        now: Instant,
    ) -> Statement {
        let known = self.by_target.remove(id);
        let known_rate = known.as_ref().and_then(Limit::rate);
        let same = rate.map(f64::to_bits) == known_rate.map(f64::to_bits);
        let (account, since) = match known {
            Some(limit) if same => (limit.account, limit.since),
            _ => (rate.map(|rate| SharedRate::new(rate, &self.senders, now)), now),
        };
        let limit = Limit { version, account, since, told: None };
        self.by_target.insert(TargetId::clone(id), limit);
        match rate {
            _ if same => Statement::Known,
            Some(rate) => Statement::Limited(rate),
            None => Statement::Ended,
        }
    }

    /// Returns up to `max` reports for peers, of those that were told least recently.
    pub fn reports(&mut self, max: usize, now: Instant) -> Vec<Report> {
        let told = |limit: &Limit| limit.account.is_some() || now < limit.since + ENDED_TIME;
        let mut known: Vec<_> = self.by_target.iter_mut().filter(|(_, l)| told(l)).collect();
        known.sort_unstable_by(|(a, x), (b, y)| x.told.cmp(&y.told).then(a.cmp(b)));
        let report = |(id, limit): (&TargetId, &mut Limit)| {
            limit.told = Some(now);
            Report { id: TargetId::clone(id), version: limit.version, rate: limit.rate() }
        };
        known.into_iter().take(max).map(report).collect()
    }

    /// Records which instances send, as far as known.
    pub fn set_senders(&mut self, senders: Senders, now: Instant) {
        if self.senders != senders {
            self.senders = senders;
            let accounts = self.by_target.values_mut().filter_map(|l| l.account.as_mut());
            accounts.for_each(|account| account.update(&self.senders, now));
        }
    }

    /// Counts a request of this instance to a target; returns whether it may send another one.
    pub fn record_request(&mut self, id: &str, now: Instant) -> bool {
        let account = self.by_target.get_mut(id).and_then(|limit| limit.account.as_mut());
        account.is_none_or(|account| {
            account.record(&self.senders, now);
            now >= account.opens_at()
        })
    }

    /// Replaces the requests to a target that a peer has told of.
    pub fn replace_sends(
        &mut self,
        peer: &InstanceId,
        id: &str,
        sends: Vec<Instant>,
        now: Instant,
    ) {
        let account = self.by_target.get_mut(id).and_then(|limit| limit.account.as_mut());
        if let Some(account) = account.filter(|_| !sends.is_empty()) {
            account.replace(peer, sends, &self.senders, now);
        }
    }

    /// Returns the requests of this instance to a target that peers are told of.
    pub fn own_sends(&self, id: &str, now: Instant) -> &[Instant] {
        let account = self.by_target.get(id).and_then(|limit| limit.account.as_ref());
        account.map_or(&[], |account| account.own_sends(now))
    }

    /// Returns the limited targets to which this instance has sent lately.
    pub fn used_targets(&self, now: Instant) -> impl Iterator<Item = &TargetId> {
        self.by_target.keys().filter(move |id| !self.own_sends(id, now).is_empty())
    }

    /// Returns the targets that get no request of this instance at `now`, in no order.
    pub fn closed(&self, now: Instant) -> impl Iterator<Item = &TargetId> {
        let closed =
            move |limit: &Limit| limit.account.as_ref().is_some_and(|a| now < a.opens_at());
        self.by_target.iter().filter(move |(_, limit)| closed(limit)).map(|(id, _)| id)
    }

    /// Returns how many requests a target takes from all instances from `now` until `end`, and
    /// how many a second; `None` if it has no limit.
    pub fn capacity(&self, id: &str, now: Instant, end: Instant) -> Option<(f64, f64)> {
        let account = self.by_target.get(id)?.account.as_ref()?;
        Some((account.capacity(now, end), account.used_rate()))
    }

    /// Returns the limit of a target, in requests a second.
    pub fn rate(&self, id: &str) -> Option<f64> {
        self.by_target.get(id).and_then(Limit::rate)
    }

    /// Returns the number of targets with a limit.
    pub fn count(&self) -> usize {
        self.by_target.values().filter(|limit| limit.account.is_some()).count()
    }

    /// Removes the limit of a target that is gone or has restarted.
    pub fn forget(&mut self, id: &str) {
        self.by_target.remove(id);
    }
}
