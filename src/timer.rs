//! Timer thread that runs scheduled jobs and sends periodic ticks.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

type Job = Box<dyn FnMut() -> bool + Send>;

struct Entry {
    due: Instant,
    sequence: u64,
    period: Option<Duration>,
    guard: Option<Weak<()>>,
    job: Job,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.sequence) == (other.due, other.sequence)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

#[derive(Default)]
struct Queue {
    entries: BinaryHeap<Reverse<Entry>>,
    sequence: u64,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
}

/// Handle to the timer thread.
#[derive(Clone, Default)]
pub struct Timer {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Timer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Timer").finish_non_exhaustive()
    }
}

/// Keeps one scheduled job; dropping it cancels the job.
#[derive(Debug)]
pub struct TimerGuard {
    _strong: Arc<()>,
}

impl Timer {
    /// Starts the timer thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start() -> io::Result<Self> {
        let timer = Self::default();
        let shared = Arc::clone(&timer.shared);
        thread::Builder::new().name("timer".to_owned()).spawn(move || run(&shared))?;
        Ok(timer)
    }

    /// Returns a channel that ticks every `period`; unread ticks are merged.
    pub fn subscribe(&self, period: Duration) -> Receiver<()> {
        let (sender, ticks) = sync_channel(1);
        self.add(Instant::now() + period, Some(period), None, tick_job(sender));
        ticks
    }

    /// Runs `job` at `due` on the timer thread; it must not block.
    #[must_use]
    pub fn schedule(&self, due: Instant, mut job: impl FnMut() + Send + 'static) -> TimerGuard {
        let strong = Arc::new(());
        let weak = Arc::downgrade(&strong);
        let once = Box::new(move || {
            job();
            false
        });
        self.add(due, None, Some(weak), once);
        TimerGuard { _strong: strong }
    }

    fn add(&self, due: Instant, period: Option<Duration>, guard: Option<Weak<()>>, job: Job) {
        let mut queue = lock(&self.shared.queue);
        queue.sequence += 1;
        let sequence = queue.sequence;
        queue.entries.push(Reverse(Entry { due, sequence, period, guard, job }));
        drop(queue);
        self.shared.changed.notify_one();
    }
}

fn tick_job(sender: SyncSender<()>) -> Job {
    Box::new(move || !matches!(sender.try_send(()), Err(TrySendError::Disconnected(()))))
}

fn lock(queue: &Mutex<Queue>) -> MutexGuard<'_, Queue> {
    queue.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run(shared: &Shared) {
    loop {
        let mut entry = take_due(shared);
        let active = entry.guard.as_ref().is_none_or(|g| g.strong_count() > 0);
        if !active || !(entry.job)() {
            continue;
        }
        if let Some(period) = entry.period {
            entry.due = (entry.due + period).max(Instant::now());
            lock(&shared.queue).entries.push(Reverse(entry));
        }
    }
}

/// Waits until an entry is due and removes it.
fn take_due(shared: &Shared) -> Entry {
    let mut queue = lock(&shared.queue);
    loop {
        let now = Instant::now();
        let due = queue.entries.peek().map(|Reverse(e)| e.due);
        match due {
            Some(due) if due <= now => {
                if let Some(Reverse(entry)) = queue.entries.pop() {
                    return entry;
                }
            }
            Some(due) => {
                let waited = shared.changed.wait_timeout(queue, due - now);
                queue = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
            None => {
                queue = shared.changed.wait(queue).unwrap_or_else(PoisonError::into_inner);
            }
        }
    }
}
