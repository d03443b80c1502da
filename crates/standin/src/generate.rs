//! Generate calls of a stand-in engine: prefill, then a stream of tokens.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::sync::PoisonError;
use std::time::Duration;

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::openai::{Call, parse};
use mimosapass_core::tiers::length_band;
use mimosapass_target::engine::{ATTEMPT, EXPIRY, Event, GROUP, HOLDER, OFFSET, RESUMES};
use mimosapass_target::memory::{Cancel, Claim, Purpose};

use crate::engine::{Faults, Inner, refuse};
use crate::reply;

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens of an answer when the request states no limit.
const DEFAULT_TOKENS: u32 = 16;
/// Bytes of the body that identify the prefix of a prompt.
const PREFIX_BYTES: usize = 256;
/// Expiry of held memory when the request states none.
const DEFAULT_EXPIRY_MS: u64 = 30_000;

/// One generate call.
#[derive(Debug)]
struct Job {
    claim: Claim,
    offset: u64,
    prompt_tokens: u64,
    answer_tokens: u64,
    prefix_hash: u64,
}

impl Inner {
    /// Handles a generate call.
    pub(crate) fn generate(&self, exchange: &mut Exchange<'_>, call: Call, faults: &Faults) {
        if faults.leaving || faults.refuse {
            return refuse(exchange, if faults.leaving { "leaving" } else { "busy" });
        }
        self.wait_while(|f| f.hold_start);
        let job = match parse_job(exchange, call, faults) {
            Ok(job) => job,
            Err(text) => return reply::json(exchange, 400, &text),
        };
        if !self.admit(exchange, &job) {
            return refuse(exchange, "memory");
        }
        self.prefill(&job);
        if self.stream(exchange, &job).is_ok() {
            exchange.finish();
        }
    }

    /// Allocates memory for the job; returns whether there is enough.
    ///
    /// A job of a group needs a reservation on this engine, and shares that cover it.
    fn admit(&self, exchange: &Exchange<'_>, job: &Job) -> bool {
        if let Some(earlier) = exchange.head.header(RESUMES) {
            self.state().memory.transfer(earlier, &job.claim.id);
        }
        let needed = job.prompt_tokens + job.answer_tokens;
        let fits = match exchange.head.header(GROUP) {
            Some(group) => self.is_reserved(group, job) && group_tokens(group) >= needed,
            None => needed <= self.settings.capacity,
        };
        if !fits || !self.allocate(&job.claim, Purpose::Stream, needed) {
            return false;
        }
        let mut state = self.state();
        state.runs += 1;
        state.prefill += job.prompt_tokens;
        state.bands[length_band(job.prompt_tokens)] += job.prompt_tokens;
        true
    }

    fn is_reserved(&self, group: &str, job: &Job) -> bool {
        !group.is_empty() && self.state().memory.size(&job.claim.id).is_some()
    }

    fn prefill(&self, job: &Job) {
        let computing = self.compute_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let micros = job.prompt_tokens * 1_000_000 / self.settings.prefill_rate;
        std::thread::sleep(Duration::from_micros(micros));
        drop(computing);
        let mut state = self.state();
        state.prefill -= job.prompt_tokens;
        state.bands[length_band(job.prompt_tokens)] -= job.prompt_tokens;
        drop(state);
        self.record_cached(job.prefix_hash, job.prompt_tokens);
    }

    fn stream(&self, exchange: &mut Exchange<'_>, job: &Job) -> io::Result<()> {
        let mut headers =
            vec![("content-type", "text/event-stream".to_owned()), (ATTEMPT, job.claim.id.clone())];
        if job.offset > 0 {
            headers.push((OFFSET, job.offset.to_string()));
        }
        exchange.begin(200, &headers)?;
        for index in job.offset..job.answer_tokens {
            self.token(exchange, job, index)?;
        }
        self.end(exchange, job)
    }

    fn token(&self, exchange: &mut Exchange<'_>, job: &Job, index: u64) -> io::Result<()> {
        let faults = self.wait_while(|f| f.frozen || f.hold_from.is_some_and(|n| index >= n));
        let mut state = self.state();
        let cancelled = state.memory.size(&job.claim.id).is_none();
        let cut_once = state.faults.cut_once.take_if(|n| index >= *n).is_some();
        drop(state);
        if cancelled || cut_once || faults.cut_after.is_some_and(|n| index >= n) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if faults.endless_from.is_some_and(|n| index >= n) {
            return reply::endless(exchange);
        }
        std::thread::sleep(self.settings.token_interval);
        let attempt = echoed_attempt(job, &faults);
        let event = Event::Token { attempt, index, text: format!("t{index} ") };
        let times = match index {
            _ if faults.skip == Some(index) => 0,
            _ if faults.repeat == Some(index) => 2,
            _ => 1,
        };
        let silence = Duration::from_millis(faults.silent_ms);
        let silence = faults.silent_at.filter(|n| *n == index).map(|_| silence);
        (0..times).try_for_each(|_| send(exchange, &event, silence))
    }

    fn end(&self, exchange: &mut Exchange<'_>, job: &Job) -> io::Result<()> {
        let faults = self.state().faults.clone();
        if !faults.no_end {
            let event = Event::End {
                attempt: echoed_attempt(job, &faults),
                tokens: job.answer_tokens + u64::from(faults.miscount),
                prompt: job.prompt_tokens,
                reason: "stop".to_owned(),
            };
            send(exchange, &event, None)?;
        }
        let ids = vec![job.claim.id.clone()];
        self.state().memory.cancel(&Cancel { ids, expired: false });
        Ok(())
    }
}

fn parse_job(exchange: &Exchange<'_>, call: Call, faults: &Faults) -> Result<Job, String> {
    let body = parse(call, &exchange.body).map_err(|e| e.to_string())?;
    let header = |name: &str| exchange.head.header(name).unwrap_or_default().to_owned();
    let claim = Claim {
        id: header(ATTEMPT),
        holder: header(HOLDER),
        expiry_ms: header(EXPIRY).parse().unwrap_or(DEFAULT_EXPIRY_MS),
    };
    let mut hasher = DefaultHasher::new();
    exchange.body.iter().take(PREFIX_BYTES).for_each(|b| b.hash(&mut hasher));
    let offset = if faults.no_resume { 0 } else { header(OFFSET).parse().unwrap_or(0) };
    Ok(Job {
        claim,
        offset,
        prompt_tokens: (body.prompt_bytes / BYTES_PER_TOKEN).max(1) as u64,
        answer_tokens: u64::from(body.max_tokens.unwrap_or(DEFAULT_TOKENS)),
        prefix_hash: hasher.finish(),
    })
}

/// Returns the sum of the shares of a group.
fn group_tokens(group: &str) -> u64 {
    let share = |part: &str| part.split_once('=').and_then(|(_, n)| n.parse::<u64>().ok());
    group.split(',').filter_map(share).sum()
}

fn echoed_attempt(job: &Job, faults: &Faults) -> String {
    let id = &job.claim.id;
    if faults.crossed { format!("{id}-other") } else { id.clone() }
}

/// Sends an event, with a silence in its midst if there is one.
fn send(exchange: &mut Exchange<'_>, event: &Event, silence: Option<Duration>) -> io::Result<()> {
    let text = format!("data: {}\n\n", serde_json::to_string(event)?);
    reply::in_halves(exchange, text.as_bytes(), silence)
}
