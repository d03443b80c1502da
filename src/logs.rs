//! Structured logs of the gateway on standard output.
//!
//! A record is one line of `key=value` pairs. Lines go through a bounded queue
//! to a thread of their own, so that a reader that stops reading costs lines and
//! no request. Each level has a rate; what is over it or finds the queue full is
//! counted, and the count is logged as soon as there is room again. Warnings
//! have a rate of their own, so that successes never displace failures.

use std::fmt::Write as _;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use env_filter::{Builder, Filter};
use log::kv::{Key, Value, VisitSource};
use log::{Level, Log, Metadata, Record};

/// Lines that wait for the reader: some seconds of an instance at worst load.
const QUEUE: usize = 2_000;
/// Lines of one level in a second. An instance serves some tens of requests a
/// second, each with a handful of lines at the most verbose level.
const RATE: u32 = 400;
/// Time over which a rate counts.
const WINDOW: Duration = Duration::from_secs(1);

/// Writes records to a queue, within a rate for each level.
struct Bounded {
    filter: Filter,
    lines: SyncSender<String>,
    counts: Mutex<[(Option<Instant>, u32); 6]>,
    left_out: Arc<AtomicU64>,
}

/// Starts to log on standard output; `RUST_LOG` sets what, `info` by default.
///
/// # Errors
///
/// Fails when the thread cannot be started or something else logs already.
pub fn start() -> io::Result<()> {
    let directives = std::env::var("RUST_LOG").unwrap_or_else(|_| "info".to_owned());
    let filter = Builder::new().parse(&directives).build();
    let (lines, written) = sync_channel(QUEUE);
    let left_out = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&left_out);
    thread::Builder::new().name("logs".to_owned()).spawn(move || write(&written, &counted))?;
    log::set_max_level(filter.filter());
    let logger = Bounded { filter, lines, counts: Mutex::default(), left_out };
    log::set_boxed_logger(Box::new(logger)).map_err(io::Error::other)
}

fn write(lines: &Receiver<String>, left_out: &AtomicU64) {
    for line in lines {
        let mut out = io::stdout().lock();
        let lost = left_out.swap(0, Ordering::Relaxed);
        let mut told = String::new();
        if lost > 0 {
            writeln!(told, "level=WARN part=logs msg=\"logs: lines were left out.\" count={lost}")
                .unwrap_or_default();
        }
        // A broken pipe leaves nobody to tell.
        if out.write_all(told.as_bytes()).and_then(|()| out.write_all(line.as_bytes())).is_err() {
            return;
        }
    }
}

impl Bounded {
    /// Returns whether one more line of the level is within its rate.
    fn allows(&self, level: Level) -> bool {
        let now = Instant::now();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let (since, count) = &mut counts[level as usize];
        if since.is_none_or(|at| now.duration_since(at) >= WINDOW) {
            (*since, *count) = (Some(now), 0);
        }
        *count += 1;
        *count <= RATE
    }
}

impl Log for Bounded {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.filter.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.filter.matches(record) {
            return;
        }
        let full = || matches!(self.lines.try_send(line(record)), Err(TrySendError::Full(_)));
        if !self.allows(record.level()) || full() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Key-value pairs of a record, as text.
struct Pairs(String);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={}", quoted(&value.to_string()))?;
        Ok(())
    }
}

/// Returns a value that holds no space or quote as it is, and others quoted.
fn quoted(text: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && c != '"' && c != '=';
    if !text.is_empty() && text.chars().all(plain) { text.to_owned() } else { format!("{text:?}") }
}

fn line(record: &Record<'_>) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let part = record.target().rsplit("::").next().unwrap_or_default();
    let mut pairs = Pairs(String::new());
    if record.key_values().visit(&mut pairs).is_err() {
        pairs.0.push_str(" pairs=unreadable");
    }
    format!(
        "ts={}.{:03} level={} part={part} msg={:?}{}\n",
        now.as_secs(),
        now.subsec_millis(),
        record.level(),
        record.args().to_string(),
        pairs.0
    )
}
