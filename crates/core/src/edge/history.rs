//! What requests have cost: the length of answers and the time of calls, by route and workspace.
//!
//! Answers the pattern of requests that look alike and cost targets very different amounts of
//! work. Callers state the largest length of an answer, at times an estimate that is often far
//! off; services have no cost model at all. Costs of a kind are spread by factors rather than by
//! amounts, so the mean and the spread of their logarithms are kept.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::WorkspaceId;

/// Number of samples that count in a mean; older ones fade.
const MEMORY: f64 = 50.0;
/// Number of samples at which a workspace's own costs count as much as those of its route.
const TRUSTED: f64 = 8.0;
/// Spread of the logarithm before anything was seen: a factor of two.
const UNKNOWN_SPREAD: f64 = 0.7;
/// Most kinds that are kept; the one that was unused for longest goes.
const MAX_KINDS: usize = 1_024;
/// Time after which the costs of a kind that was not seen are dropped.
const EXPIRY: Duration = Duration::from_mins(10);
/// Smallest and largest factor by which estimates of callers are found to be off.
const MAX_BIAS: f64 = 4.0;

/// Largest value that counts, and the inverse of the smallest: no token count or time in
/// seconds is beyond it, and none of it is too long for a duration.
const MAX_VALUE: f64 = 1e9;

/// Requests that are taken together: those of a workspace on a route, or all of a route.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Kind {
    /// Name of the route.
    pub route: Arc<str>,
    /// Workspace, if there is one.
    pub workspace: Option<WorkspaceId>,
}

/// Expected cost, in the unit in which it was recorded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Median.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub spread: f64,
}

/// Running mean and variance of logarithms.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogMean {
    count: f64,
    mean: f64,
    variance: f64,
}

impl LogMean {
    /// Adds a value within bounds; others are ignored.
    pub fn add(&mut self, value: f64) {
        if !(MAX_VALUE.recip()..=MAX_VALUE).contains(&value) {
            return;
        }
        self.count = (self.count + 1.0).min(MEMORY);
        let (off, weight) = (value.ln() - self.mean, 1.0 / self.count);
        self.mean += off * weight;
        self.variance = (1.0 - weight) * (self.variance + off * off * weight);
    }

    /// Returns the number of values that count.
    pub fn count(&self) -> f64 {
        self.count
    }

    /// Returns the median and spread, `None` before the first value. Few values leave doubt.
    pub fn estimate(&self) -> Option<Estimate> {
        let doubt = UNKNOWN_SPREAD * UNKNOWN_SPREAD / self.count.max(1.0);
        let spread = (self.variance + doubt).sqrt();
        (self.count > 0.0).then(|| Estimate { median: self.mean.exp(), spread })
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    cost: LogMean,
    /// Ratio of the cost to the caller's estimate.
    bias: LogMean,
    at: Instant,
}

/// Costs by kind of request.
#[derive(Clone, Debug, Default)]
pub struct History {
    kinds: HashMap<Kind, Record>,
}

impl History {
    /// Records the cost of a request that has ended well, and its caller's estimate.
    pub fn record(&mut self, kind: &Kind, cost: f64, stated: Option<f64>, now: Instant) {
        let route = Kind { workspace: None, ..kind.clone() };
        let own = kind.workspace.is_some().then(|| kind.clone());
        for kind in own.into_iter().chain([route]) {
            self.make_room(&kind, now);
            let empty = Record { cost: LogMean::default(), bias: LogMean::default(), at: now };
            let record = self.kinds.entry(kind).or_insert(empty);
            record.cost.add(cost);
            if let Some(stated) = stated.filter(|s| *s > 0.0) {
                record.bias.add(cost / stated);
            }
            record.at = now;
        }
    }

    fn make_room(&mut self, kind: &Kind, now: Instant) {
        if self.kinds.len() < MAX_KINDS || self.kinds.contains_key(kind) {
            return;
        }
        self.kinds.retain(|_, r| now.saturating_duration_since(r.at) < EXPIRY);
        if self.kinds.len() >= MAX_KINDS
            && let Some(oldest) =
                self.kinds.iter().min_by_key(|(_, r)| r.at).map(|(k, _)| k.clone())
        {
            self.kinds.remove(&oldest);
        }
    }

    /// Returns what a request of a kind is likely to cost; `stated` is its caller's estimate.
    ///
    /// `None` if nothing of its route was seen. The caller's estimate and what was seen count by
    /// how far off each of them has been.
    pub fn estimate(&self, kind: &Kind, stated: Option<f64>, now: Instant) -> Option<Estimate> {
        let seen = self.blend(kind, now, |r| r.cost)?;
        let Some(stated) = stated.filter(|s| *s > 0.0) else { return Some(seen) };
        let Some(bias) = self.blend(kind, now, |r| r.bias) else {
            return Some(Estimate { median: stated, spread: UNKNOWN_SPREAD });
        };
        let corrected = stated * bias.median.clamp(1.0 / MAX_BIAS, MAX_BIAS);
        let (a, b) = (seen.spread.powi(-2), bias.spread.powi(-2));
        let median = ((seen.median.ln() * a + corrected.ln() * b) / (a + b)).exp();
        Some(Estimate { median, spread: (a + b).sqrt().recip() })
    }

    /// Returns the estimate of a workspace on its route, towards that of the route when little
    /// of the workspace was seen.
    fn blend(
        &self,
        kind: &Kind,
        now: Instant,
        of: impl Fn(&Record) -> LogMean,
    ) -> Option<Estimate> {
        let known = |kind: &Kind| {
            let record = self.kinds.get(kind)?;
            let fresh = now.saturating_duration_since(record.at) < EXPIRY;
            fresh.then(|| of(record)).filter(|mean| mean.count() > 0.0)
        };
        let route = known(&Kind { workspace: None, ..kind.clone() })?;
        let all = route.estimate()?;
        let own = kind.workspace.as_ref().and_then(|_| known(kind));
        let Some((count, own)) = own.and_then(|m| Some((m.count(), m.estimate()?))) else {
            return Some(all);
        };
        let weight = count / (count + TRUSTED);
        let mix = |own: f64, all: f64| own * weight + all * (1.0 - weight);
        let median = mix(own.median.ln(), all.median.ln()).exp();
        Some(Estimate { median, spread: mix(own.spread, all.spread) })
    }

    /// Returns the number of kinds that are kept.
    pub fn count(&self) -> usize {
        self.kinds.len()
    }
}

impl Estimate {
    /// Returns the mean of the logarithmic normal distribution.
    pub fn mean(&self) -> f64 {
        self.median * (self.spread * self.spread / 2.0).exp()
    }

    /// Returns the share of requests that cost more than `cost`.
    pub fn share_above(&self, cost: f64) -> f64 {
        if cost <= 0.0 {
            return 1.0;
        }
        let z = (cost / self.median.max(f64::MIN_POSITIVE)).ln() / self.spread.max(0.01);
        // Logistic approximation of the normal distribution.
        1.0 / (1.0 + (1.702 * z).exp())
    }
}
