//! Limits that targets state, learned by one instance and kept by all.

use std::time::{Duration, Instant};

use mimosapass_core::edge::limits::{Limits, Report, Statement};
use mimosapass_core::edge::shared_rate::Senders;
use mimosapass_core::ids::{InstanceId, TargetId};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);
/// Time in which what one instance does becomes known to the others.
const DELAY: Duration = Duration::from_millis(3);
/// Windows in which requests are bounded, and what the bound allows beside the limit.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

fn target() -> TargetId {
    "x".into()
}

#[test]
fn limit_is_learned_changed_and_ended() {
    let (mut limits, now) = (Limits::default(), Instant::now());
    assert_eq!(limits.state(&target(), None, now, now), Statement::Known);
    assert_eq!(limits.state(&target(), Some(2.6), now, now), Statement::Limited(2.6));
    assert_eq!(limits.state(&target(), Some(2.6), now, now), Statement::Known);
    assert_eq!(limits.state(&target(), Some(1.0), now, now), Statement::Limited(1.0));
    assert_eq!((limits.rate("x"), limits.count()), (Some(1.0), 1));
    let later = now + SECOND;
    assert_eq!(limits.state(&target(), None, later, later), Statement::Ended);
    assert_eq!((limits.rate("x"), limits.count()), (None, 0));
}

#[test]
fn answer_to_an_earlier_request_does_not_end_a_limit() {
    let (mut limits, sent) = (Limits::default(), Instant::now());
    let learned = sent + SECOND;
    limits.state(&target(), Some(2.0), sent, learned);
    assert_eq!(limits.state(&target(), None, sent, learned + SECOND), Statement::Known);
    assert_eq!(limits.rate("x"), Some(2.0));
}

#[test]
fn limit_ends_with_its_target() {
    let (mut limits, now) = (Limits::default(), Instant::now());
    limits.state(&target(), Some(2.0), now, now);
    limits.forget("x");
    assert_eq!(limits.rate("x"), None);
}

/// Guards against a peer that has not heard of the end and restores the limit.
#[test]
fn end_of_a_limit_prevails_over_older_reports() {
    let (mut first, mut second, now) = (Limits::default(), Limits::default(), Instant::now());
    first.state(&target(), Some(2.0), now, now);
    let stale = first.reports(8, now);
    assert_eq!(second.merge(&stale[0], now), Statement::Limited(2.0));
    let later = now + SECOND;
    assert_eq!(first.state(&target(), None, later, later), Statement::Ended);
    let long_after = later + SECOND * 20;
    assert!(first.reports(8, long_after).is_empty());
    assert_eq!(first.merge(&stale[0], long_after), Statement::Known);
    let told = first.reports(8, long_after);
    assert_eq!(told, [Report { id: target(), version: 2, rate: None }]);
    assert_eq!(second.merge(&told[0], long_after), Statement::Ended);
}

#[test]
fn instances_that_learn_different_limits_agree() {
    let (mut first, mut second, now) = (Limits::default(), Limits::default(), Instant::now());
    first.state(&target(), Some(2.0), now, now);
    second.state(&target(), Some(3.0), now, now);
    let (a, b) = (first.reports(8, now), second.reports(8, now));
    first.merge(&b[0], now);
    second.merge(&a[0], now);
    assert_eq!(first.rate("x"), second.rate("x"));
}

#[test]
fn all_limits_are_told_in_turn() {
    let (mut limits, now) = (Limits::default(), Instant::now());
    for n in 0..600 {
        limits.state(&format!("i-{n}").as_str().into(), Some(1.0), now, now);
    }
    let mut told: Vec<TargetId> =
        (0..60).flat_map(|_| limits.reports(10, now)).map(|report| report.id).collect();
    told.sort();
    told.dedup();
    assert_eq!(told.len(), 600);
}

/// Instances that send to one target, and what happens to them.
struct Fleet {
    now: Instant,
    start: Instant,
    instances: Vec<Limits>,
    /// Requests that wait at each instance.
    waiting: Vec<usize>,
    /// Groups whose members hear each other; all are in one at first.
    groups: Vec<usize>,
    /// Instances that stand still until then.
    frozen: Vec<Instant>,
    /// What is under way: arrival, sender, its requests and limits.
    messages: Vec<(Instant, usize, Vec<Instant>, Vec<Report>)>,
    /// When the target got requests of instances that had been told.
    received: Vec<Instant>,
    limit: f64,
}

fn name(index: usize) -> InstanceId {
    format!("gate-{index}").as_str().into()
}

impl Fleet {
    fn new(count: usize, limit: f64) -> Self {
        let now = Instant::now() + SECOND * 100;
        let mut fleet = Self {
            now,
            start: now,
            instances: vec![Limits::default(); count],
            waiting: vec![0; count],
            groups: vec![0; count],
            frozen: vec![now; count],
            messages: Vec::new(),
            received: Vec::new(),
            limit,
        };
        fleet.update_senders();
        fleet.instances[0].state(&target(), Some(limit), now, now);
        fleet.tell(0);
        fleet
    }

    fn update_senders(&mut self) {
        for index in 0..self.instances.len() {
            let heard = (0..self.instances.len()).filter(|i| self.groups[*i] == self.groups[index]);
            let others: Vec<InstanceId> = heard.filter(|i| *i != index).map(name).collect();
            let share = (others.len() + 1) as f64 / self.instances.len() as f64;
            let senders = Senders { own: name(index), others, share };
            self.instances[index].set_senders(senders, self.now);
        }
    }

    fn tell(&mut self, index: usize) {
        let sends = self.instances[index].own_sends("x", self.now).to_vec();
        let reports = self.instances[index].reports(8, self.now);
        self.messages.push((self.now + DELAY, index, sends, reports));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |m| m.0 <= now).collect();
        for (_, from, sends, reports) in due {
            for to in (0..self.instances.len()).filter(|to| *to != from) {
                if self.groups[to] == self.groups[from] {
                    let limits = &mut self.instances[to];
                    for report in &reports {
                        limits.merge(report, now);
                    }
                    limits.replace_sends(&name(from), "x", sends.clone(), now);
                }
            }
        }
    }

    /// Sends what waits and may be sent; all instances look at the same moment.
    fn step(&mut self) {
        self.deliver();
        let senders: Vec<usize> = (0..self.instances.len())
            .filter(|i| self.waiting[*i] > 0 && self.now >= self.frozen[*i])
            .filter(|i| self.instances[*i].closed(self.now).next().is_none())
            .collect();
        for index in senders {
            self.waiting[index] -= 1;
            self.instances[index].record_request("x", self.now);
            // Those that have not been told yet do not count.
            if self.instances[index].rate("x").is_some() {
                self.received.push(self.now);
            }
            self.tell(index);
        }
        self.now += MS;
    }

    /// Lets time pass while `rate` requests a second come, spread over the instances.
    fn run(&mut self, time: Duration, rate: usize) {
        let count = self.instances.len();
        for ms in 0..time.as_millis() as usize {
            if (ms * rate) % 1_000 < rate {
                self.waiting[(ms * rate / 1_000) % count] += 1;
            }
            if ms % 300 == 0 {
                (0..count).for_each(|index| self.tell(index));
            }
            self.step();
        }
    }

    fn most_in_window(&self) -> usize {
        let in_window = |end: &Instant| {
            self.received.iter().filter(|at| **at <= *end && **at + WINDOW > *end).count()
        };
        self.received.iter().map(in_window).max().unwrap_or_default()
    }

    fn assert_kept(&self) {
        let allowed = FACTOR * self.limit * WINDOW.as_secs_f64() + SLACK;
        let most = self.most_in_window();
        assert!(most as f64 <= allowed, "{most} requests in 4 s, {allowed} allowed");
    }

    /// Returns the mean rate at which the target got requests since the start.
    fn rate(&self) -> f64 {
        self.received.len() as f64 / (self.now - self.start).as_secs_f64()
    }
}

/// Generates a test from the number of instances, the limit, the requests a second and the
/// least share of the limit that is used.
macro_rules! loads {
    ($($name:ident: $count:literal, $limit:literal, $rate:literal => $used:literal;)+) => {
        $(#[test]
        fn $name() {
            let mut fleet = Fleet::new($count, $limit);
            fleet.run(SECOND * 20, $rate);
            fleet.assert_kept();
            let used = fleet.rate() / $limit;
            assert!(used >= $used, "{used:.2} of the limit is used");
            assert!(fleet.rate() <= $limit * 1.15 + 0.5, "{:.2} a second", fleet.rate());
        })+
    };
}

loads! {
    nine_instances_share_a_limit_of_one: 9, 1.0, 40 => 0.9;
    fraction_is_used_in_full: 9, 2.6, 40 => 0.9;
    one_request_each_two_seconds: 9, 0.5, 40 => 0.9;
    limit_is_shared_by_fifteen_schedulers: 15, 20.0, 200 => 0.9;
    limit_above_the_load_delays_nothing: 9, 100.0, 40 => 0.39;
    one_instance_has_the_whole_limit: 1, 2.0, 20 => 0.9;
}

/// Guards against a queue that drains at once when a limit is learned.
#[test]
fn long_queue_is_sent_at_the_rate_of_the_limit() {
    let mut fleet = Fleet::new(9, 1.0);
    fleet.waiting = vec![50; 9];
    fleet.run(SECOND * 12, 10);
    fleet.assert_kept();
}

#[test]
fn one_zone_with_all_the_traffic_uses_the_whole_limit() {
    let mut fleet = Fleet::new(9, 2.0);
    fleet.waiting[4] = 100;
    fleet.run(SECOND * 10, 0);
    fleet.assert_kept();
    assert!(fleet.rate() >= 1.8, "{:.2} a second", fleet.rate());
}

/// Guards against groups that are cut off from each other and each use the whole limit.
#[test]
fn groups_that_do_not_hear_each_other_share_the_limit() {
    for groups in [vec![0, 0, 0, 1, 1, 1, 2, 2, 2], (0..9).collect()] {
        let mut fleet = Fleet::new(9, 2.0);
        fleet.run(SECOND * 6, 40);
        fleet.groups = groups;
        fleet.update_senders();
        fleet.run(SECOND * 10, 40);
        fleet.groups = vec![0; 9];
        fleet.update_senders();
        fleet.run(SECOND * 6, 40);
        fleet.assert_kept();
    }
}

#[test]
fn restart_of_an_instance_does_not_exceed_the_limit() {
    let mut fleet = Fleet::new(9, 1.0);
    for restarted in 0..6 {
        fleet.run(SECOND * 2, 40);
        fleet.instances[restarted] = Limits::default();
        fleet.update_senders();
        // Its peers tell it in their next datagrams, before it is ready.
        (0..9).for_each(|index| fleet.tell(index));
        let waiting = std::mem::take(&mut fleet.waiting[restarted]);
        fleet.run(MS * 10, 0);
        fleet.waiting[restarted] = waiting;
    }
    fleet.assert_kept();
}

#[test]
fn instance_that_was_frozen_does_not_exceed_the_limit() {
    let mut fleet = Fleet::new(9, 1.0);
    fleet.run(SECOND * 3, 40);
    fleet.frozen[3] = fleet.now + SECOND * 4;
    fleet.run(SECOND * 8, 40);
    fleet.assert_kept();
}

/// Guards against a debt of the former rate that closes the target.
#[test]
fn limit_that_falls_and_rises_is_used() {
    let mut fleet = Fleet::new(9, 10.0);
    fleet.run(SECOND * 6, 60);
    for rate in [4.0, 2.0, 10.0] {
        let (before, now) = (fleet.received.len(), fleet.now);
        fleet.instances[2].state(&target(), Some(rate), now, now);
        fleet.tell(2);
        fleet.run(SECOND * 6, 60);
        let used = (fleet.received.len() - before) as f64 / 6.0;
        assert!((rate * 0.8..rate * 1.5 + 1.0).contains(&used), "{used:.1} of {rate} a second");
    }
}

#[test]
fn end_of_a_limit_opens_the_target_everywhere() {
    let mut fleet = Fleet::new(9, 1.0);
    fleet.run(SECOND * 4, 40);
    let (sent, now) = (fleet.now, fleet.now + MS);
    fleet.instances[5].state(&target(), None, sent, now);
    fleet.tell(5);
    fleet.run(SECOND, 40);
    assert!(fleet.instances.iter().all(|limits| limits.rate("x").is_none()));
}
