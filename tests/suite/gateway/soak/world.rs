//! The fleet of a run: gateways, the store and targets, and the faults that they meet.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use mimosapass_standin::metastore::{Copy, Endpoint, Fault};
use mimosapass_standin::relay::Relay;
use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::super::{Cluster, KEY, config, eventually, spawn};
use super::plan::Event;
use super::promises::Promises;

/// Pause that a target asks for.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Targets of each service.
const TARGETS: usize = 3;

/// What a target states in its answers from now on.
#[derive(Clone, Debug, Default)]
struct Notices {
    leaves: Arc<Mutex<HashSet<String>>>,
    pauses: Arc<Mutex<HashSet<String>>>,
}

/// Way of one instance to the store.
struct Way {
    path: Relay,
    endpoint: Endpoint,
}

/// A target with the last state that it wrote.
struct Registered {
    target: ScriptedTarget,
    service: &'static str,
    /// `None` once its entry is removed.
    state: Option<&'static str>,
    seq: u64,
}

pub struct World {
    cluster: Cluster,
    promises: Arc<Promises>,
    ways: Vec<Way>,
    targets: Vec<Registered>,
    notices: Notices,
    version: u64,
    copy: Copy,
    outage: bool,
    store_faults: HashMap<usize, Fault>,
    partitions: HashSet<usize>,
    frozen: HashSet<usize>,
    stopping: HashSet<usize>,
}

impl World {
    pub fn start(promises: &Arc<Promises>, instances: usize) -> Self {
        let mut cluster = Cluster::start(0);
        let mut ways = Vec::new();
        for _ in 0..instances {
            let endpoint = cluster.store.open_endpoint();
            let path = Relay::start(endpoint.addr).expect("a port");
            cluster.add(&endpoint.via(path.addr()), &[]);
            ways.push(Way { path, endpoint });
        }
        let mut world = Self {
            copy: cluster.store.copy(),
            cluster,
            promises: Arc::clone(promises),
            ways,
            targets: Vec::new(),
            notices: Notices::default(),
            version: 3,
            outage: false,
            store_faults: HashMap::new(),
            partitions: HashSet::new(),
            frozen: HashSet::new(),
            stopping: HashSet::new(),
        };
        for _ in 0..TARGETS {
            world.add_target("desk");
            world.add_target("pool");
        }
        for number in 0..instances {
            world.cluster.ready(number);
        }
        world.configure();
        world.copy = world.cluster.store.copy();
        world
    }

    pub fn instances(&self) -> usize {
        self.ways.len()
    }

    pub fn callers(&self, instance: usize) -> SocketAddr {
        self.cluster.callers(instance)
    }

    pub fn apply(&mut self, event: &Event) {
        self.restart_stopped();
        match *event {
            Event::StoreFault(instance, fault) => self.store_fault(instance, fault),
            Event::StoreOutage(fault) => self.store_outage(fault),
            Event::Partition(instance, begins) => {
                let changed = if begins {
                    self.partitions.insert(instance)
                } else {
                    self.partitions.remove(&instance)
                };
                if changed {
                    self.promises.fault(instance, begins);
                    self.ways[instance].path.set_silent(begins);
                }
            }
            Event::Silence(instance) => {
                self.promises.shock(instance);
                self.ways[instance].path.silence_open();
            }
            Event::Compact => self.cluster.store.compact(),
            Event::Copy => self.copy = self.cluster.store.copy(),
            Event::Restore => {
                self.shock_all();
                self.promises.configured(None);
                self.cluster.store.restore(self.copy.clone());
            }
            Event::Renew => self.renew(),
            Event::Configure => self.configure(),
            Event::Drain(n) => self.replace(n, Some("draining")),
            Event::Remove(n) => self.replace(n, None),
            Event::Leave(n) => self.leave(n),
            Event::Pause(n) => self.pause(n),
            Event::Kill(instance) => self.kill(instance),
            Event::Stop(instance) => self.stop(instance),
            Event::Freeze(instance, begins) => self.freeze(instance, begins),
        }
    }

    fn shock_all(&self) {
        (0..self.instances()).for_each(|i| self.promises.shock(i));
    }

    fn store_fault(&mut self, instance: usize, fault: Fault) {
        let before = self.store_faults.insert(instance, fault).unwrap_or_default();
        let (was, is) = (before != Fault::None, fault != Fault::None);
        if was != is {
            self.promises.fault(instance, is);
        }
        self.ways[instance].endpoint.set_fault(fault);
    }

    fn store_outage(&mut self, fault: Fault) {
        let begins = fault != Fault::None;
        if begins == self.outage {
            return;
        }
        self.outage = begins;
        for instance in 0..self.instances() {
            self.promises.fault(instance, begins);
            let own = self.store_faults.get(&instance).copied().unwrap_or_default();
            self.ways[instance].endpoint.set_fault(if begins { fault } else { own });
        }
    }

    fn configure(&mut self) {
        self.version += 1;
        self.write_config();
    }

    fn write_config(&self) {
        let route = format!("new-{}", self.version);
        let paths = ["chat", "look", "book", route.as_str()];
        self.cluster.configure(&config(self.version, &[KEY], &paths));
        self.promises.configured(Some(self.version));
    }

    /// Writes again what the operator and the targets had written.
    fn renew(&mut self) {
        self.write_config();
        let store = self.cluster.store.clone();
        for registered in &mut self.targets {
            let key = format!("servers/{}", registered.target.id);
            registered.seq += 1;
            let Registered { target, service, state, seq } = registered;
            match state {
                Some(state) => store.set(&key, &target.registration(service, state, 1, *seq)),
                None => store.delete(&key),
            }
        }
    }

    fn add_target(&mut self, service: &'static str) {
        let id = format!("i-{:03}", self.targets.len());
        let (promises, notices) = (Arc::clone(&self.promises), self.notices.clone());
        let name = id.clone();
        let target = ScriptedTarget::start(&id, move |head| {
            let attempt = head.header("x-attempt-id").unwrap_or_default();
            answer(&promises, &notices, &name, attempt)
        });
        self.cluster.register(&target, service);
        self.targets.push(Registered { target, service, state: Some("ready"), seq: 1 });
    }

    /// Starts a new target and lets another one of its service leave.
    fn replace(&mut self, number: usize, state: Option<&'static str>) {
        let Some(index) = self.serving(number) else { return };
        self.add_target(self.targets[index].service);
        let registered = &mut self.targets[index];
        registered.state = state;
        registered.seq += 1;
        let Registered { target, service, seq, .. } = registered;
        let key = format!("servers/{}", target.id);
        match state {
            Some(state) => {
                self.cluster.store.set(&key, &target.registration(service, state, 1, *seq));
            }
            None => self.cluster.store.delete(&key),
        }
        self.promises.left(&target.id);
    }

    fn leave(&mut self, number: usize) {
        let Some(index) = self.serving(number) else { return };
        self.add_target(self.targets[index].service);
        let id = self.targets[index].target.id.clone();
        self.notices.leaves.lock().unwrap_or_else(PoisonError::into_inner).insert(id);
    }

    fn pause(&mut self, number: usize) {
        let Some(index) = self.serving(number) else { return };
        let id = self.targets[index].target.id.clone();
        self.notices.pauses.lock().unwrap_or_else(PoisonError::into_inner).insert(id);
    }

    /// Returns one of the targets that are ready, also in what they answer.
    fn serving(&self, number: usize) -> Option<usize> {
        let leaves = self.notices.leaves.lock().unwrap_or_else(PoisonError::into_inner);
        let ready = |r: &Registered| r.state == Some("ready") && !leaves.contains(&r.target.id);
        let all: Vec<usize> =
            (0..self.targets.len()).filter(|i| ready(&self.targets[*i])).collect();
        (!all.is_empty()).then(|| all[number % all.len()])
    }

    fn kill(&mut self, instance: usize) {
        if self.frozen.contains(&instance) || self.stopping.contains(&instance) {
            return;
        }
        self.promises.shock(instance);
        let gateway = &mut self.cluster.gateways[instance];
        gateway.child.kill().expect("killed");
        self.start_again(instance);
    }

    fn stop(&mut self, instance: usize) {
        if self.frozen.contains(&instance) || !self.stopping.insert(instance) {
            return;
        }
        self.promises.stopping(instance);
        self.cluster.signal(instance, "-TERM");
    }

    fn restart_stopped(&mut self) {
        let ended: Vec<usize> = self
            .stopping
            .iter()
            .copied()
            .filter(|i| matches!(self.cluster.gateways[*i].child.try_wait(), Ok(Some(_))))
            .collect();
        for instance in ended {
            self.stopping.remove(&instance);
            self.promises.shock(instance);
            self.start_again(instance);
        }
    }

    fn start_again(&mut self, instance: usize) {
        let gateway = &mut self.cluster.gateways[instance];
        gateway.child.wait().expect("it ends");
        let log = gateway.settings.with_extension("log");
        let log = std::fs::File::options().append(true).open(log).expect("a log");
        gateway.child = spawn(&gateway.settings, Stdio::from(log));
        self.promises.restarted(instance);
    }

    fn freeze(&mut self, instance: usize, begins: bool) {
        if self.stopping.contains(&instance) {
            return;
        }
        let changed =
            if begins { self.frozen.insert(instance) } else { self.frozen.remove(&instance) };
        if changed {
            self.promises.fault(instance, begins);
            self.cluster.signal(instance, if begins { "-STOP" } else { "-CONT" });
        }
    }

    /// Checks that every instance serves the newest route once all faults have ended.
    pub fn check_recovered(&mut self) {
        eventually("all that were stopped have ended", || {
            self.restart_stopped();
            self.stopping.is_empty()
        });
        for number in 0..self.instances() {
            self.cluster.ready(number);
            let path = format!("/new-{}/1", self.version);
            let answer = self.cluster.ask(number, &path, &format!("last-{number}"));
            if answer.response.status != 200 {
                let status = answer.response.status;
                self.promises.report(format!("recover: instance {number} answers {path} {status}"));
            }
        }
    }

    /// Writes the schedule, what is broken and all logs to a folder.
    pub fn keep_logs(&self, seed: u64, events: &[(Duration, Event)], broken: &[String]) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("mimosapass-soak-{seed}"));
        std::fs::create_dir_all(&folder).expect("created");
        let plan: Vec<String> = events.iter().map(|(at, e)| format!("{at:?} {e:?}")).collect();
        std::fs::write(folder.join("schedule.txt"), plan.join("\n")).expect("written");
        std::fs::write(folder.join("broken.txt"), broken.join("\n")).expect("written");
        for number in 0..self.instances() {
            std::fs::write(folder.join(format!("gate-{number}.log")), self.cluster.log(number))
                .expect("written");
        }
        folder
    }
}

/// Returns the answer of a target to an attempt, with what it states about itself.
fn answer(promises: &Promises, notices: &Notices, target: &str, attempt: &str) -> Reply {
    let holds = |set: &Mutex<HashSet<String>>| {
        set.lock().unwrap_or_else(PoisonError::into_inner).contains(target)
    };
    let Some(boot) = promises.received(target, attempt) else {
        return Reply::Complete(200, "unknown");
    };
    if holds(&notices.pauses) && promises.asked_pause(target, boot, PAUSE) {
        promises.turned_away(attempt);
        return Reply::WithHeader(503, "full", "retry-after: 1.5\r\nx-not-executed: 1");
    }
    if holds(&notices.leaves) {
        promises.told_leave(target, boot);
        return Reply::WithHeader(200, "yes", "server-leaving: 1");
    }
    if attempt.contains("chat") {
        return Reply::Stream { last: 4, pause: Duration::from_millis(30), cut_at: None };
    }
    Reply::Complete(200, "yes")
}
