//! Load patterns: how many ask for what over time, and what breaks meanwhile.

use std::time::Duration;

use crate::load::ZONES;

/// A time in which more comes than usual, of some kind or from some zone.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// When it begins and ends, from the start, in seconds.
    pub span: (f64, f64),
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
    Dark(usize),
    /// They work again, and know nothing of before.
    Lit(usize),
    /// Every `n`th engine is slower by the factor.
    Slow(usize, f64),
    /// Every `n`th engine fails this share of its requests.
    Grey(usize, f64),
    /// One engine takes no new work.
    Drain(usize),
    /// One engine is gone.
    Gone(usize),
    /// One engine that was gone starts anew.
    Born(usize),
    /// All instances and engines of the zone are lost.
    LoseZone(usize),
    /// All instances are lost.
    LoseInstances,
    /// All instances that were lost come back and know nothing.
    ReturnInstances,
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
    pub length: Duration,
    /// Share of callers that leave before they are promised an event.
    pub leaving: f64,
    /// Share of callers that return at once and often.
    pub abuse: f64,
    /// Times of more or less load.
    pub surges: Vec<Surge>,
    /// Faults, by time in seconds.
    pub faults: Vec<(f64, Fault)>,
}

impl Pattern {
    fn calm(name: &'static str, load: f64) -> Self {
        Self {
            name,
            engines: 18,
            instances: 9,
            load,
            length: Duration::from_secs(40),
            leaving: 0.0,
            abuse: 0.0,
            surges: Vec::new(),
            faults: Vec::new(),
        }
    }

    fn surge(mut self, span: (f64, f64), kind: Option<usize>, factor: f64) -> Self {
        self.surges.push(Surge { span, kind, zone: None, factor });
        self
    }

    fn fault(mut self, at: f64, fault: Fault) -> Self {
        self.faults.push((at, fault));
        self
    }

    /// Returns the factor on the usual rate at a moment.
    pub fn factor(&self, kind: usize, zone: usize, at: Duration) -> f64 {
        let at = at.as_secs_f64();
        let holds = |s: &&Surge| {
            (s.span.0..s.span.1).contains(&at)
                && s.kind.is_none_or(|k| k == kind)
                && s.zone.is_none_or(|z| z == zone)
        };
        self.surges.iter().filter(holds).map(|s| s.factor).product()
    }

    /// Returns a bound on the factor over the whole time.
    pub fn peak(&self, kind: usize, zone: usize) -> f64 {
        let starts = self.surges.iter().map(|s| s.span.0).chain([0.0]);
        let factor = |at: f64| self.factor(kind, zone, Duration::from_secs_f64(at));
        starts.map(factor).fold(1.0, f64::max)
    }
}

/// Index of the longest kind.
const REVIEW: usize = 2;

/// Returns all patterns, the calm ones first.
pub fn all() -> Vec<Pattern> {
    let calm = Pattern::calm;
    let each = |pattern: Pattern, fault: &dyn Fn(usize) -> [(f64, Fault); 3], engines: usize| {
        (0..engines).flat_map(fault).fold(pattern, |p, (at, fault)| p.fault(at, fault))
    };
    let release = |i: usize| {
        let at = 10.0 + i as f64;
        [(at, Fault::Drain(i)), (at + 3.0, Fault::Gone(i)), (at + 3.5, Fault::Born(i))]
    };
    let mut swing = calm("swing", 1.0);
    for step in 0..4 {
        let from = f64::from(step) * 10.0;
        let (short, long) = if step % 2 == 0 { (1.6, 0.3) } else { (0.6, 2.5) };
        swing = swing.surge((from, from + 10.0), Some(0), short);
        swing = swing.surge((from, from + 10.0), Some(REVIEW), long);
    }
    let mut zone = calm("burst of one zone", 1.0);
    zone.surges.push(Surge { span: (10.0, 20.0), kind: None, zone: Some(ZONES - 1), factor: 5.0 });
    let away = [(15.0, Fault::LoseInstances), (17.0, Fault::ReturnInstances)];
    vec![
        calm("calm", 0.6),
        calm("usual", 1.0),
        calm("busy", 1.6),
        calm("full", 2.2),
        calm("burst of all", 1.0).surge((10.0, 20.0), None, 3.0),
        calm("burst of reviews", 1.0).surge((10.0, 20.0), Some(REVIEW), 4.0),
        calm("burst of chats", 1.0).surge((10.0, 20.0), Some(0), 4.0),
        zone,
        swing,
        Pattern { abuse: 0.3, ..calm("retry abuse", 1.0).surge((10.0, 20.0), None, 3.0) },
        Pattern { leaving: 0.3, ..calm("callers leave", 1.4) },
        calm("dark engines", 1.0).fault(10.0, Fault::Dark(6)).fault(16.0, Fault::Lit(6)),
        calm("slow engines", 1.0).fault(10.0, Fault::Slow(6, 5.0)).fault(25.0, Fault::Slow(6, 1.0)),
        calm("grey engines", 1.0).fault(10.0, Fault::Grey(6, 0.4)).fault(25.0, Fault::Grey(6, 0.0)),
        each(calm("release", 1.0), &release, 16),
        calm("scale-in", 1.0).fault(10.0, Fault::Drain(3)).fault(10.0, Fault::Drain(9)),
        calm("zone lost", 1.2).fault(15.0, Fault::LoseZone(0)),
        away.into_iter().fold(calm("all restarted", 1.0), |p, (at, f)| p.fault(at, f)),
        Pattern { instances: 3, ..calm("few instances", 1.6) },
        Pattern { instances: 70, engines: 60, ..calm("many instances", 1.6) },
    ]
}
