//! Structured logs of the gateway on standard output.
//!
//! A record is one line of `key=value` pairs. A bounded queue leads to a writer
//! thread, so that a reader that stops reading loses lines but blocks no request.
//! Lines above the rate limit, or for which the queue is full, are dropped and
//! counted; the count is logged before the next line that is written. The limit is
//! separate for each level, so that lines of successes never displace those of
//! failures.

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

/// Capacity of the queue: some seconds of lines at the highest load.
const QUEUE_LINES: usize = 2_000;
/// Maximum number of lines per level in one [`WINDOW`].
///
/// An instance serves some tens of requests per second, with a few lines each at
/// the most verbose level.
const MAX_LINES: u32 = 400;
/// Window of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);

/// Longest wait at the end of the process until the queue is written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval between checks whether it is.
const FLUSH_INTERVAL: Duration = Duration::from_millis(2);

/// Sends log lines to the queue, within a rate limit for each level.
struct RateLimited {
    filter: Filter,
    lines: SyncSender<String>,
    /// Lines that were queued and are not written yet.
    unwritten: Arc<AtomicU64>,
    counts: Mutex<[(Option<Instant>, u32); 6]>,
    dropped: Arc<AtomicU64>,
}

/// Starts logging to standard output; `RUST_LOG` sets the filter, by default `info`.
///
/// # Errors
///
/// Fails when the thread cannot be started or a logger is already installed.
pub fn start() -> io::Result<()> {
    let directives = std::env::var("RUST_LOG").unwrap_or_else(|_| "info".to_owned());
    let filter = Builder::new().parse(&directives).build();
    let (lines, inbox) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let unwritten = Arc::new(AtomicU64::new(0));
    let (counted, written) = (Arc::clone(&dropped), Arc::clone(&unwritten));
    let work = move || write(&inbox, &counted, &written);
    thread::Builder::new().name("logs".to_owned()).spawn(work)?;
    log::set_max_level(filter.filter());
    let logger = RateLimited { filter, lines, unwritten, counts: Mutex::default(), dropped };
    log::set_boxed_logger(Box::new(logger)).map_err(io::Error::other)
}

fn write(lines: &Receiver<String>, dropped: &AtomicU64, unwritten: &AtomicU64) {
    for line in lines {
        let mut out = io::stdout().lock();
        let count = dropped.swap(0, Ordering::Relaxed);
        let mut notice = String::new();
        if count > 0 {
            writeln!(
                notice,
                "level=WARN part=logs msg=\"logs: lines were dropped.\" count={count}"
            )
            .unwrap_or_default();
        }
        // After a broken pipe there is nowhere to report the error.
        if out.write_all(notice.as_bytes()).and_then(|()| out.write_all(line.as_bytes())).is_err() {
            return;
        }
        unwritten.fetch_sub(1, Ordering::SeqCst);
    }
}

impl RateLimited {
    /// Counts a line; returns whether it is within the rate limit of its level.
    fn allows(&self, level: Level) -> bool {
        let now = Instant::now();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let (since, count) = &mut counts[level as usize];
        if since.is_none_or(|at| now.duration_since(at) >= WINDOW) {
            (*since, *count) = (Some(now), 0);
        }
        *count += 1;
        *count <= MAX_LINES
    }
}

impl Log for RateLimited {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.filter.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.filter.matches(record) {
            return;
        }
        if !self.allows(record.level()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.unwritten.fetch_add(1, Ordering::SeqCst);
        if let Err(error) = self.lines.try_send(line(record)) {
            self.unwritten.fetch_sub(1, Ordering::SeqCst);
            // After a broken pipe nobody reads what is left.
            if matches!(error, TrySendError::Full(_)) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Waits until all lines are written, [`FLUSH_TIMEOUT`] at most.
    fn flush(&self) {
        let end = Instant::now() + FLUSH_TIMEOUT;
        while self.unwritten.load(Ordering::SeqCst) > 0 && Instant::now() < end {
            thread::sleep(FLUSH_INTERVAL);
        }
    }
}

/// Key-value pairs of a record, as text.
struct Pairs(String);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={}", quoted(&value.to_string()))?;
        Ok(())
    }
}

/// Quotes a value if it is empty or contains white space, `"` or `=`.
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
