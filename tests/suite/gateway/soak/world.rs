//! The fleet of a run: gateways, the store and targets, and the faults that they meet.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use mimosapass_standin::mesh::Mesh;
use mimosapass_standin::metastore::{Copy, Endpoint, Fault};
use mimosapass_standin::relay::Relay;

use super::super::{Cluster, KEY, config, eventually, spawn};
use super::allowed::{EXTRA, MOVED, SECOND_KEY};
use super::plan::{Change, Event, SERVICES};
use super::promises::Promises;
use super::targets::Targets;

/// Most memory that an instance may use, in KiB.
const MAX_MEMORY_KIB: u64 = 160 * 1024;

/// Settings of every second instance; the others take prices and costs as stated.
const LEARNED: &str = "pricing: learned\ncosts: learned\n";

/// Way of one instance to the store.
struct Way {
    path: Relay,
    endpoint: Endpoint,
}

impl Way {
    fn start(cluster: &Cluster) -> Self {
        let endpoint = cluster.store.open_endpoint();
        let path = Relay::start(endpoint.addr).expect("a port");
        Self { path, endpoint }
    }
}

pub struct World {
    cluster: Cluster,
    promises: Arc<Promises>,
    ways: Vec<Way>,
    mesh: Mesh,
    targets: Targets,
    version: u64,
    copy: Copy,
    outage: bool,
    store_faults: HashMap<usize, Fault>,
    partitions: HashSet<usize>,
    frozen: HashSet<usize>,
    stopping: HashSet<usize>,
    /// Most memory that an instance has used, in KiB.
    pub memory: u64,
}

impl World {
    pub fn start(promises: &Arc<Promises>, instances: usize) -> Self {
        let mut cluster = Cluster::start(0);
        let ways: Vec<Way> = (0..instances).map(|_| Way::start(&cluster)).collect();
        let mesh = Mesh::default();
        let endpoints: Vec<Endpoint> =
            ways.iter().map(|way| way.endpoint.via(way.path.addr())).collect();
        for (number, endpoint) in endpoints.iter().enumerate() {
            let more = if number % 2 == 0 { LEARNED } else { "" };
            cluster.add_meshed(endpoint, &endpoints, &mesh, more);
        }
        let targets = Targets::start(&cluster, promises);
        let mut world = Self {
            copy: cluster.store.copy(),
            cluster,
            promises: Arc::clone(promises),
            ways,
            mesh,
            targets,
            version: 3,
            outage: false,
            store_faults: HashMap::new(),
            partitions: HashSet::new(),
            frozen: HashSet::new(),
            stopping: HashSet::new(),
            memory: 0,
        };
        for number in 0..instances {
            world.cluster.ready(number);
        }
        world.configure();
        // The first configuration had no such route and key.
        for change in Change::ALL {
            world.promises.changed(change, true);
        }
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
        self.targets.replace_crashed(&self.cluster);
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
            Event::Sever(instance) => {
                self.shock_all();
                self.mesh.silence(instance);
            }
            Event::Compact => self.cluster.store.compact(),
            Event::Copy => self.copy = self.cluster.store.copy(),
            Event::Restore => {
                self.shock_all();
                self.promises.configured(None);
                self.cluster.store.restore(self.copy.clone());
            }
            Event::Renew => {
                self.write_config();
                self.targets.renew(&self.cluster);
            }
            Event::Configure => self.configure(),
            Event::Change(change) => self.change(change),
            Event::Drain(n) => self.targets.replace(&self.cluster, n, Some("draining")),
            Event::Remove(n) => self.targets.replace(&self.cluster, n, None),
            Event::Leave(n) => self.targets.leave(&self.cluster, n),
            Event::Pause(n) => self.targets.pause(n),
            Event::Limit(n, rate) => self.targets.limit(n, rate),
            Event::Stall(stall) => self.targets.stall(&stall),
            Event::Endless(endless) => self.targets.endless(&endless),
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

    /// Takes away what the configuration allows, or allows it again.
    fn change(&mut self, change: Change) {
        self.version += 1;
        let value = !self.promises.allows(change);
        // From here on either may be in force, and from its acknowledgement on for a while.
        self.promises.changed(change, value);
        self.write_config();
        self.promises.changed(change, value);
    }

    fn write_config(&self) {
        let allows = |change| self.promises.allows(change);
        let route = format!("new-{}", self.version);
        let mut paths = vec!["chat", "look", "book", route.as_str(), MOVED];
        paths.extend(allows(Change::Route).then_some(EXTRA));
        let keys: &[&str] = if allows(Change::Keys) { &[KEY, SECOND_KEY] } else { &[KEY] };
        let mut config = config(self.version, keys, &paths);
        let service = SERVICES[usize::from(!allows(Change::Reroute))];
        for route in config["routes"].as_array_mut().expect("routes") {
            if route["name"] == MOVED {
                route["service"] = service.into();
            }
        }
        self.cluster.configure(&config);
        self.promises.configured(Some(self.version));
    }

    fn kill(&mut self, instance: usize) {
        if self.frozen.contains(&instance) || self.stopping.contains(&instance) {
            return;
        }
        self.check_memory(instance);
        self.promises.shock(instance);
        self.promises.halted(instance, true);
        let gateway = &mut self.cluster.gateways[instance];
        gateway.child.kill().expect("killed");
        self.start_again(instance);
    }

    fn stop(&mut self, instance: usize) {
        if self.frozen.contains(&instance) || !self.stopping.insert(instance) {
            return;
        }
        self.check_memory(instance);
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
            self.promises.halted(instance, true);
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
        self.promises.halted(instance, false);
    }

    fn freeze(&mut self, instance: usize, begins: bool) {
        if self.stopping.contains(&instance) {
            return;
        }
        let changed =
            if begins { self.frozen.insert(instance) } else { self.frozen.remove(&instance) };
        if changed {
            self.promises.fault(instance, begins);
            self.promises.halted(instance, true);
            self.cluster.signal(instance, if begins { "-STOP" } else { "-CONT" });
            self.promises.halted(instance, begins);
        }
    }

    /// Checks the most memory that a running instance has used.
    fn check_memory(&mut self, instance: usize) {
        let id = self.cluster.gateways[instance].child.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        // A process that has just ended has no memory.
        let Some(used) = line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok()) else {
            return;
        };
        self.memory = self.memory.max(used);
        if used > MAX_MEMORY_KIB {
            self.promises.report(format!("memory: instance {instance} has used {used} KiB"));
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
            self.check_memory(number);
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
