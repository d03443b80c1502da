//! Load patterns: request rates over time, and the faults during a run.

use std::time::Duration;

use crate::load::ZONES;

/// A period in which some calls come at another rate than usual.
#[derive(Clone, Copy, Debug)]
pub struct LoadChange {
    /// Begin and end, from the start of the run, in seconds.
    pub span_s: (f64, f64),
    /// Index of the kind; `None` for all kinds.
    pub kind: Option<usize>,
    /// Zone of the callers; `None` for all zones.
    pub zone: Option<usize>,
    /// Factor on the usual rate.
    pub factor: f64,
}

/// A fault or a planned change of engines or instances.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Every `n`th engine accepts no connection and finishes no request.
    Unresponsive(usize),
    /// Every `n`th engine works again, without the requests it had.
    Recovered(usize),
    /// Every `n`th engine is slower by the factor.
    Slow(usize, f64),
    /// Every `n`th engine fails this share of its requests.
    Failing(usize, f64),
    /// One engine accepts no new requests.
    Drain(usize),
    /// One engine stops and is removed from the target list.
    Removed(usize),
    /// A removed engine starts again under a new identifier.
    Replaced(usize),
    /// The operator evacuates a zone: its engines get no new requests.
    Evacuate(usize),
    /// The operator takes an evacuated zone back.
    TakeBack(usize),
    /// All instances and engines of one zone fail.
    LoseZone(usize),
    /// All instances fail.
    LoseInstances,
    /// All failed instances start again with empty state.
    RestartInstances,
}

/// Which instances are told of requests in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exchange {
    /// The schedulers of each zone, which place the requests of the other instances.
    Schedulers,
    /// All of them; each instance places its own requests.
    All,
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
    /// Which instances are told of requests in flight.
    pub exchange: Exchange,
    /// Bandwidth of each instance in Mbit/s; `None` for one that never delays anything.
    pub link_mbps: Option<f64>,
    /// Request rate relative to the usual one.
    pub load: f64,
    /// Period in which calls arrive.
    pub duration: Duration,
    /// Share of callers that leave before the first event is due.
    pub leave_share: f64,
    /// Share of callers that retry several times without waiting.
    pub abuse_share: f64,
    /// Periods of higher or lower rates.
    pub load_changes: Vec<LoadChange>,
    /// Faults, each with its time in seconds.
    pub faults: Vec<(f64, Fault)>,
}

impl Pattern {
    fn steady(name: &'static str, load: f64) -> Self {
        Self {
            name,
            engines: 18,
            instances: 9,
            exchange: Exchange::Schedulers,
            link_mbps: None,
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

    /// Returns the factor on the usual rate at time `at`.
    pub fn rate_factor(&self, kind: usize, zone: usize, at: Duration) -> f64 {
        let at = at.as_secs_f64();
        let applies = |s: &&LoadChange| {
            (s.span_s.0..s.span_s.1).contains(&at)
                && s.kind.is_none_or(|k| k == kind)
                && s.zone.is_none_or(|z| z == zone)
        };
        self.load_changes.iter().filter(applies).map(|s| s.factor).product()
    }

    /// Returns an upper bound on the rate factor over the whole run.
    pub fn max_factor(&self, kind: usize, zone: usize) -> f64 {
        let starts = self.load_changes.iter().map(|s| s.span_s.0).chain([0.0]);
        let factor = |at: f64| self.rate_factor(kind, zone, Duration::from_secs_f64(at));
        starts.map(factor).fold(1.0, f64::max)
    }
}

/// Returns a surge of three times the usual rate within two seconds, on instances with
/// links of 20 Mbit/s.
pub fn surge(instances: usize, engines: usize, exchange: Exchange) -> Pattern {
    Pattern {
        instances,
        engines,
        exchange,
        link_mbps: Some(20.0),
        duration: Duration::from_secs(10),
        ..Pattern::steady("surge", 0.8).change_load((4.0, 6.0), None, 3.0)
    }
}

/// Returns patterns in which demand and capacity are uneven: zones with peaks of their own,
/// engines of unlike speed, a burst that ends, and capacity that shrinks while the load stays.
pub fn uneven_patterns() -> Vec<Pattern> {
    let steady = Pattern::steady;
    let mut peaks = steady("peaks of zones", 1.0);
    for zone in 0..ZONES {
        let from = 5.0 + 10.0 * zone as f64;
        let span_s = (from, from + 10.0);
        peaks.load_changes.push(LoadChange { span_s, kind: None, zone: Some(zone), factor: 3.5 });
    }
    vec![
        steady("shrinking capacity", 1.0)
            .at(10.0, Fault::Evacuate(1))
            .at(16.0, Fault::LoseZone(0))
            .at(26.0, Fault::TakeBack(1)),
        steady("evacuated zone", 1.2).at(10.0, Fault::Evacuate(1)).at(25.0, Fault::TakeBack(1)),
        peaks,
        steady("unlike engines", 1.3).at(0.0, Fault::Slow(3, 1.6)),
        steady("short burst", 1.0).change_load((10.0, 13.0), None, 4.0),
    ]
}

/// Index of the kind with the longest prompts.
const REVIEW: usize = 2;

/// Returns all patterns, those without faults or bursts first.
pub fn all_patterns() -> Vec<Pattern> {
    let steady = Pattern::steady;
    let for_each_engine =
        |pattern: Pattern, fault: &dyn Fn(usize) -> [(f64, Fault); 3], engines: usize| {
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
    let restart = [(15.0, Fault::LoseInstances), (17.0, Fault::RestartInstances)];
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
        for_each_engine(steady("release", 1.0), &release, 16),
        steady("scale-in", 1.0).at(10.0, Fault::Drain(3)).at(10.0, Fault::Drain(9)),
        steady("zone lost", 1.2).at(15.0, Fault::LoseZone(0)),
        restart.into_iter().fold(steady("all restarted", 1.0), |p, (at, f)| p.at(at, f)),
        Pattern { instances: 3, ..steady("few instances", 1.6) },
        Pattern { instances: 70, engines: 60, ..steady("many instances", 1.6) },
    ]
}
