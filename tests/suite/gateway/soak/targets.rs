//! The targets of a run: their entries in the store, and the faults that they meet.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_standin::target::ScriptedTarget;

use super::super::Cluster;
use super::plan::{Endless, Others, SERVICES, Share, Stall};
use super::promises::Promises;
use super::script::{Mood, Script};

/// Targets of each service.
const TARGETS: usize = 3;
/// Least time between two silences of a target.
const REST: Duration = Duration::from_millis(600);

/// A target with the last state that it wrote.
struct Registered {
    target: ScriptedTarget,
    script: Script,
    service: &'static str,
    /// `None` once its entry is removed.
    state: Option<&'static str>,
    seq: u64,
}

pub struct Targets {
    all: Vec<Registered>,
    /// Targets that state a limit, by the number under which they were chosen.
    limited: HashMap<usize, usize>,
    promises: Arc<Promises>,
}

impl Targets {
    pub fn start(cluster: &Cluster, promises: &Arc<Promises>) -> Self {
        let mut targets =
            Self { all: Vec::new(), limited: HashMap::new(), promises: Arc::clone(promises) };
        for service in SERVICES.into_iter().cycle().take(TARGETS * SERVICES.len()) {
            targets.add(cluster, service);
        }
        targets
    }

    fn add(&mut self, cluster: &Cluster, service: &'static str) {
        let id = format!("i-{:03}", self.all.len());
        let script = Script::new(&id, &self.promises);
        let answering = script.clone();
        let target = ScriptedTarget::start(&id, move |head| answering.answer(head));
        self.promises.serves(&id, service);
        cluster.register(&target, service);
        self.all.push(Registered { target, script, service, state: Some("ready"), seq: 1 });
    }

    /// Writes again what the targets had written.
    pub fn renew(&mut self, cluster: &Cluster) {
        self.all.iter_mut().for_each(|registered| registered.write(cluster));
    }

    /// Starts a new target and lets another one of its service leave.
    pub fn replace(&mut self, cluster: &Cluster, number: usize, state: Option<&'static str>) {
        let Some(index) = self.serving(number) else { return };
        self.add(cluster, self.all[index].service);
        let registered = &mut self.all[index];
        registered.state = state;
        registered.write(cluster);
        self.promises.left(&registered.target.id);
    }

    /// Starts a new target for each one that has crashed, whose entry goes.
    pub fn replace_crashed(&mut self, cluster: &Cluster) {
        for index in 0..self.all.len() {
            if self.all[index].target.is_closed() && self.all[index].state.is_some() {
                self.add(cluster, self.all[index].service);
                let registered = &mut self.all[index];
                registered.state = None;
                registered.write(cluster);
                self.promises.left(&registered.target.id);
            }
        }
    }

    /// As [`Self::replace`], but the target states it in its answers before its entry does.
    pub fn leave(&mut self, cluster: &Cluster, number: usize) {
        let Some(index) = self.serving(number) else { return };
        self.add(cluster, self.all[index].service);
        self.all[index].script.mood().leaving = true;
    }

    pub fn pause(&mut self, number: usize) {
        let Some(index) = self.serving(number) else { return };
        self.all[index].script.mood().pausing = true;
    }

    /// Lets a target state a limit, or none any more.
    pub fn limit(&mut self, number: usize, rate: Option<f64>) {
        let known = self.limited.remove(&number).or_else(|| self.serving(number));
        let Some(index) = known else { return };
        if rate.is_some() {
            self.limited.insert(number, index);
        }
        let registered = &self.all[index];
        registered.script.mood().limit = rate;
        self.promises.limited(&registered.target.id, rate);
    }

    /// Lets targets fall silent for a time, and others of their service refuse or fail meanwhile.
    pub fn stall(&self, stall: &Stall) {
        let (chosen, others) = self.share(&stall.share);
        let now = Instant::now();
        let until = now + stall.time;
        for index in chosen {
            let mut mood = self.all[index].script.mood();
            if mood.silent.is_none_or(|(_, last)| now > last + REST) {
                mood.silent = Some((stall.point, until));
            }
        }
        for index in others {
            let mut mood = self.all[index].script.mood();
            match stall.others {
                Others::Serve => {}
                Others::Refuse => mood.refusing = Some(until),
                Others::Endless(place) => mood.endless = Some((place, until)),
            }
        }
    }

    /// Lets targets begin answers without end for a time.
    pub fn endless(&self, endless: &Endless) {
        for index in self.share(&endless.share).0 {
            let until = Instant::now() + endless.time;
            self.all[index].script.mood().endless = Some((endless.place, until));
        }
    }

    /// Returns the targets of a service that are in a share of it, and the others.
    fn share(&self, share: &Share) -> (Vec<usize>, Vec<usize>) {
        let of_service = |i: &usize| self.all[*i].service == share.service;
        let mut serving: Vec<usize> = self.all_serving().into_iter().filter(of_service).collect();
        let length = serving.len();
        serving.rotate_left(share.first % length.max(1));
        let others = serving.split_off(share.size.of(length));
        (serving, others)
    }

    /// Returns one of the targets that are ready, also in what they answer.
    fn serving(&self, number: usize) -> Option<usize> {
        let all = self.all_serving();
        (!all.is_empty()).then(|| all[number % all.len()])
    }

    fn all_serving(&self) -> Vec<usize> {
        let ready = |r: &Registered| {
            let Mood { leaving, .. } = *r.script.mood();
            r.state == Some("ready") && !leaving
        };
        (0..self.all.len()).filter(|i| ready(&self.all[*i])).collect()
    }
}

impl Registered {
    /// Writes the target's entry with its next number.
    fn write(&mut self, cluster: &Cluster) {
        self.seq += 1;
        let key = format!("servers/{}", self.target.id);
        match self.state {
            Some(state) => {
                let entry = self.target.registration(self.service, state, 1, self.seq);
                cluster.store.set(&key, &entry);
            }
            None => cluster.store.delete(&key),
        }
    }
}
