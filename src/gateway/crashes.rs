//! Finds out which parts of prompts and which requests crash targets, and tells peers.
//!
//! `mimosapass_core::edge::quarantine` decides which parts are refused. Here crashes are told
//! from connections that were lost while the target goes on: after a crash nothing listens at
//! the target's address.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::quarantine::{Admission, Crash, Refused, Report, Update};
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::PartId;
use mimosapass_instance::datagram::{PartReport, TargetCrash};
use mimosapass_target::http::Framing;
use xxhash_rust::xxh3::xxh3_64;

use super::gossip::{ago, ms};
use super::request::Request;
use super::run::Run;
use super::state::{Gateway, State};

/// Time within which the machine of a target accepts or refuses a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of parts in one datagram.
const MAX_REPORTS: usize = 8;
/// Maximum number of crashes in one datagram; each takes about 16 bytes.
const MAX_REPORTED_CRASHES: usize = 24;

impl Gateway {
    /// Admits a request unless a part of its prompt is quarantined.
    ///
    /// # Errors
    ///
    /// Fails if a part of the prompt is quarantined.
    pub fn admit_parts(&self, mut request: Request) -> Result<Request, Failure> {
        let admitted = self.state().quarantine.admit(&request.parts, Instant::now());
        request.admission = admitted.map_err(|refused| self.refuse_part(&request, refused))?;
        if request.admission == Admission::Trial {
            let parts: Vec<String> = request.parts.iter().map(|part| label(*part)).collect();
            log::info!(
                id = request.attempt_id.as_str(), parts = parts.join(",");
                "part: a request is tried, another part may be the one that crashes targets."
            );
        }
        Ok(request)
    }

    /// Returns why an admitted request is refused by now, if a part was quarantined since.
    pub fn check_parts(&self, request: &Request) -> Option<Failure> {
        let now = Instant::now();
        let refused = self.state().quarantine.find(&request.parts, request.admission, now);
        refused.map(|refused| self.refuse_part(request, refused))
    }

    fn refuse_part(&self, request: &Request, refused: Refused) -> Failure {
        let part = label(refused.part);
        self.metrics.quarantine_refusals.with_label_values(&[&*part]).inc();
        let detail = if refused.part == request.digest {
            "a request with this path and body has crashed several targets".to_owned()
        } else {
            format!("part {part} of the prompt has crashed several targets")
        };
        Failure::new(Kind::Quarantined, detail).after(refused.left)
    }

    /// Returns whether a request may be sent to another target after one has failed.
    pub fn may_retry_parts(&self, request: &Request) -> bool {
        self.state().quarantine.may_retry(&request.parts, Instant::now())
    }

    /// Clears the parts of a request that its target goes on to answer.
    pub fn clear_parts(&self, request: &Request, now: Instant) {
        let mut state = self.state();
        let update = state.quarantine.clear(&request.parts, now);
        state.record_evidence(self, &update, &self.name, now);
    }

    /// Clears the parts of a request whose answer has ended, unless a crash may have ended it.
    pub fn record_end(&self, request: &Request, run: &Run) {
        let now = Instant::now();
        let unframed = run.response().is_some_and(|r| r.framing == Framing::UntilClose);
        if unframed && !run.is_settled(now) {
            self.examine_failure(request, run);
        } else {
            self.clear_parts(request, now);
        }
    }

    /// Holds a failed run against the parts of its request if its target has crashed.
    pub fn examine_failure(&self, request: &Request, run: &Run) {
        let now = Instant::now();
        if run.is_settled(now) {
            return;
        }
        // A peer finds out about its own targets.
        let Some(target) = run.target() else { return };
        let state = self.state();
        let suspects = state.quarantine.suspects(&request.parts, now);
        // The end of a target that leaves is no crash.
        let leaves = !state.scheduler.fleet.accepts(&target.id);
        drop(state);
        if leaves || !is_down(target.addr) {
            return;
        }
        let parts: Vec<String> = suspects.iter().map(|part| label(*part)).collect();
        log::info!(
            id = request.attempt_id.as_str(),
            target_id = &*target.id,
            digest = label(request.digest),
            parts = parts.join(","),
            begun = run.first_event.is_some();
            "target: crashed under a request."
        );
        if suspects.is_empty() {
            return;
        }
        let mut state = self.state();
        let update = state.quarantine.accuse(&suspects, crash(target, run.began, now), now);
        state.record_evidence(self, &update, &self.name, now);
    }
}

impl State {
    /// Logs what evidence has changed, and has peers told of evidence of this instance.
    fn record_evidence(&mut self, gateway: &Gateway, update: &Update, source: &str, now: Instant) {
        let quarantined = self.quarantine.count(now);
        for part in &update.quarantined {
            log::warn!(part = label(*part), source, quarantined; "part: quarantined, it crashes targets.");
        }
        for part in &update.lifted {
            log::warn!(part = label(*part), source, quarantined; "part: not quarantined any more, it was answered.");
        }
        // Of a peer's evidence schedulers tell other zones; in a zone it has been told to all.
        if update.new && (source == &*gateway.name || self.places_own(gateway, now)) {
            self.evidence_changed = true;
            gateway.load_changed.notify_all();
        }
    }

    /// Returns what peers are told of parts.
    pub fn part_reports(&self, now: Instant) -> Vec<PartReport> {
        let encode = |crash: &Crash| TargetCrash {
            id: crash.id,
            age_ms: ms(now.saturating_duration_since(crash.at)),
            depth: crash.depth,
        };
        let mut crashes = 0;
        let reports = self.quarantine.reports(MAX_REPORTS, now).into_iter();
        reports
            .take_while(|report| {
                crashes += report.crashes.len();
                crashes <= MAX_REPORTED_CRASHES
            })
            .map(|report| PartReport {
                part: report.part,
                crashes: report.crashes.iter().map(encode).collect(),
            })
            .collect()
    }

    /// Applies what a peer tells of parts.
    pub fn apply_part_reports(
        &mut self,
        gateway: &Gateway,
        peer: &str,
        reports: &[PartReport],
        now: Instant,
    ) {
        if reports.is_empty() {
            return;
        }
        let decode = |crash: &TargetCrash| {
            let at = ago(crash.age_ms, now);
            Crash { id: crash.id, at, began: at, depth: crash.depth.max(1) }
        };
        let reports: Vec<Report> = reports
            .iter()
            .map(|report| Report {
                part: report.part,
                crashes: report.crashes.iter().map(decode).collect(),
            })
            .collect();
        let update = self.quarantine.merge(&reports, now);
        self.record_evidence(gateway, &update, peer, now);
    }
}

/// Returns the name of a part or digest in log lines and metrics.
fn label(part: PartId) -> String {
    format!("{part:x}")
}

/// Returns the crash of a target's present start, which all instances name alike.
fn crash(target: &Target, began: Instant, at: Instant) -> Crash {
    let start = format!("{} {}", target.id, target.started_ms);
    Crash { at, id: xxh3_64(start.as_bytes()), began, depth: 1 }
}

/// Returns whether a machine refuses connections for want of a process that listens.
fn is_down(addr: SocketAddr) -> bool {
    let connected = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT);
    connected.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
}
