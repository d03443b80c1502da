//! Streams that broke off, and go on at another target.

use mimosapass_core::edge::wait::caller_timeout;

use super::flow::Flow;
use super::run::Step;

impl Flow<'_, '_> {
    /// Prepares a failed stream for resumption after its last event.
    ///
    /// The caller's timeout counts from that event; the time limit of the first event
    /// no longer applies.
    pub(super) fn prepare_resume(&mut self) {
        let Some(last_sent) = self.progress.last_sent else { return };
        self.request.last_event.clone_from(&self.progress.last_event);
        let route = &self.request.route;
        let entry = &mut self.request.requirements.entry;
        entry.expires = self
            .request
            .deadline
            .min(last_sent + caller_timeout(route.latency_goal, route.max_gap));
        entry.due = entry.expires;
    }

    /// Replaces what does not go on with the stream that the caller got the begin of.
    pub(super) fn check_resumed(&self, index: usize, step: Step) -> Step {
        let run = self.runs.get(index);
        let (Step::Events(events) | Step::End(events)) = &step else { return step };
        let Some(last) = self.progress.last_event.as_deref() else { return step };
        if run.last_event.is_some() {
            return step;
        }
        let is_stream = run.response().is_some_and(|response| response.status == 200);
        if is_stream && goes_on(last, events) {
            return step;
        }
        Step::Failed("the target does not go on with the stream".to_owned())
    }
}

/// Returns whether a stream that begins with `events` goes on after the event `last`.
///
/// Its first event has to have an identifier, which comes after `last`. What an error would
/// send instead, such as an event without one or another kind of body, does not go on.
fn goes_on(last: &str, events: &[u8]) -> bool {
    let text = String::from_utf8_lossy(events).replace("\r\n", "\n");
    let is_event = |block: &&str| {
        let mut lines = block.lines().filter(|line| !line.is_empty());
        lines.any(|line| !line.starts_with(':') && !line.starts_with("retry:"))
    };
    let mut blocks = text.split("\n\n").filter(is_event);
    blocks.next().is_none_or(|block| {
        let id = block.lines().find_map(|line| line.strip_prefix("id:")).map(str::trim);
        id.is_some_and(|id| follows(last, id))
    })
}

/// Returns whether an identifier may come after another one.
fn follows(last: &str, id: &str) -> bool {
    match (last.parse::<u64>(), id.parse::<u64>()) {
        (Ok(last), Ok(id)) => id > last,
        _ => id != last,
    }
}
