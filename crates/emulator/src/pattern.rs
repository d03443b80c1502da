//! Load patterns: how many ask for what over time, and what breaks meanwhile.

use std::time::Duration;

use crate::load::ZONES;

/// A time in which more comes than usual, of some kind or from some zone.
#[derive(Clone, Copy, Debug)]
pub struct LoadChange {
    /// When it begins and ends, from the start, in seconds.
    pub span_s: (f64, f64),
    /// Index of the kind; all where none.
    pub kind: Option<usize>,
    /// Zone of the callers; all where none.
    pub zone: Option<usize>,
    /// Factor on the usual rate.
    pub factor: f64,
}

/// What happens to engines or instances.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Engines take no connection and finish nothing: every `n`th.
    Unresponsive(usize),
    /// They work again, and know nothing of before.
    Recovered(usize),
    /// Every `n`th engine is slower by the factor.
    Slow(usize, f64),
    /// Every `n`th engine fails this share of its requests.
    Failing(usize, f64),
    /// One engine takes no new work.
    Drain(usize),
    /// One engine is gone.
    Removed(usize),
    /// One engine that was gone starts anew.
    Replaced(usize),
    /// All instances and engines of the zone are lost.
    LoseZone(usize),
    /// All instances are lost.
    LoseInstances,
    /// All instances that were lost come back and know nothing.
    RestartInstances,
}

/// One load pattern.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Name.
    pub name: &'static str,
    /// Engines.
    pub engines: usize,
    /// Instances.
    pub instances: usize,
    /// Usual rate, against the usual one of a deployment.
    pub load: f64,
    /// Time in which calls come.
    pub duration: Duration,
    /// Share of callers that leave before they are promised an event.
    pub leave_share: f64,
    /// Share of callers that return at once and often.
    pub abuse_share: f64,
    /// Times of more or less load.
    pub load_changes: Vec<LoadChange>,
    /// Faults, by time in seconds.
    pub faults: Vec<(f64, Fault)>,
}

impl Pattern {
    fn steady(name: &'static str, load: f64) -> Self {
        Self {
            name,
            engines: 18,
            instances: 9,
            load,
            duration: Duration::from_secs(40),
            leave_share: 0.0,
            abuse_share: 0.0,
            load_changes: Vec::new(),
            faults: Vec::new(),
        }
    }

    fn change_load(mut self, span_s: (f64, f64), kind: Option<usize>, factor: f64) -> Self {
        self.load_changes.push(LoadChange { span_s, kind, zone: None, factor });
        self
    }

    fn at(mut self, at: f64, fault: Fault) -> Self {
        self.faults.push((at, fault));
        self
    }

    /// Returns the factor on the usual rate at a moment.
    pub fn rate_factor(&self, kind: usize, zone: usize, at: Duration) -> f64 {
        let at = at.as_secs_f64();
        let holds = |s: &&LoadChange| {
            (s.span_s.0..s.span_s.1).contains(&at)
                && s.kind.is_none_or(|k| k == kind)
                && s.zone.is_none_or(|z| z == zone)
        };
        self.load_changes.iter().filter(holds).map(|s| s.factor).product()
    }

    /// Returns a bound on the factor over the whole time.
    pub fn max_factor(&self, kind: usize, zone: usize) -> f64 {
        let starts = self.load_changes.iter().map(|s| s.span_s.0).chain([0.0]);
        let factor = |at: f64| self.rate_factor(kind, zone, Duration::from_secs_f64(at));
        starts.map(factor).fold(1.0, f64::max)
    }
}

/// Index of the longest kind.
const REVIEW: usize = 2;

/// Returns all patterns, the calm ones first.
pub fn all_patterns() -> Vec<Pattern> {
    let steady = Pattern::steady;
    let each = |pattern: Pattern, fault: &dyn Fn(usize) -> [(f64, Fault); 3], engines: usize| {
        (0..engines).flat_map(fault).fold(pattern, |p, (at, fault)| p.at(at, fault))
    };
    let release = |i: usize| {
        let at = 10.0 + i as f64;
        [(at, Fault::Drain(i)), (at + 3.0, Fault::Removed(i)), (at + 3.5, Fault::Replaced(i))]
    };
    let mut swing = steady("swing", 1.0);
    for step in 0..4 {
        let from = f64::from(step) * 10.0;
        let (short, long) = if step % 2 == 0 { (1.6, 0.3) } else { (0.6, 2.5) };
        swing = swing.change_load((from, from + 10.0), Some(0), short);
        swing = swing.change_load((from, from + 10.0), Some(REVIEW), long);
    }
    let mut zone = steady("burst of one zone", 1.0);
    zone.load_changes.push(LoadChange {
        span_s: (10.0, 20.0),
        kind: None,
        zone: Some(ZONES - 1),
        factor: 5.0,
    });
    let away = [(15.0, Fault::LoseInstances), (17.0, Fault::RestartInstances)];
    vec![
        steady("calm", 0.6),
        steady("usual", 1.0),
        steady("busy", 1.6),
        steady("full", 2.2),
        steady("burst of all", 1.0).change_load((10.0, 20.0), None, 3.0),
        steady("burst of reviews", 1.0).change_load((10.0, 20.0), Some(REVIEW), 4.0),
        steady("burst of chats", 1.0).change_load((10.0, 20.0), Some(0), 4.0),
        zone,
        swing,
        Pattern {
            abuse_share: 0.3,
            ..steady("retry abuse", 1.0).change_load((10.0, 20.0), None, 3.0)
        },
        Pattern { leave_share: 0.3, ..steady("callers leave", 1.4) },
        steady("dark engines", 1.0).at(10.0, Fault::Unresponsive(6)).at(16.0, Fault::Recovered(6)),
        steady("slow engines", 1.0).at(10.0, Fault::Slow(6, 5.0)).at(25.0, Fault::Slow(6, 1.0)),
        steady("grey engines", 1.0)
            .at(10.0, Fault::Failing(6, 0.4))
            .at(25.0, Fault::Failing(6, 0.0)),
        each(steady("release", 1.0), &release, 16),
        steady("scale-in", 1.0).at(10.0, Fault::Drain(3)).at(10.0, Fault::Drain(9)),
        steady("zone lost", 1.2).at(15.0, Fault::LoseZone(0)),
        away.into_iter().fold(steady("all restarted", 1.0), |p, (at, f)| p.at(at, f)),
        Pattern { instances: 3, ..steady("few instances", 1.6) },
        Pattern { instances: 70, engines: 60, ..steady("many instances", 1.6) },
    ]
}
