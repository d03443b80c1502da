//! The one timer service; parts subscribe to it.

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
    order: u64,
    every: Option<Duration>,
    alive: Option<Weak<()>>,
    job: Job,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
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
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

#[derive(Default)]
struct Queue {
    entries: BinaryHeap<Reverse<Entry>>,
    count: u64,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
}

/// Handle of the timer service.
#[derive(Clone, Default)]
pub struct Timer {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Timer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Timer").finish_non_exhaustive()
    }
}

/// Keeps a single job scheduled; dropping it cancels the job.
#[derive(Debug)]
pub struct TimerGuard {
    _alive: Arc<()>,
}

impl Timer {
    /// Starts the thread of the timer.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    pub fn start() -> io::Result<Self> {
        let timer = Self::default();
        let shared = Arc::clone(&timer.shared);
        thread::Builder::new().name("timer".to_owned()).spawn(move || run(&shared))?;
        Ok(timer)
    }

    /// Returns a channel that ticks every `period`; ticks not taken are merged.
    pub fn subscribe(&self, period: Duration) -> Receiver<()> {
        let (sender, ticks) = sync_channel(1);
        self.add(Instant::now() + period, Some(period), None, tick(sender));
        ticks
    }

    /// Runs `job` at `due` on the timer's thread; it must not block.
    #[must_use]
    pub fn schedule(&self, due: Instant, mut job: impl FnMut() + Send + 'static) -> TimerGuard {
        let alive = Arc::new(());
        let weak = Arc::downgrade(&alive);
        let once = Box::new(move || {
            job();
            false
        });
        self.add(due, None, Some(weak), once);
        TimerGuard { _alive: alive }
    }

    fn add(&self, due: Instant, every: Option<Duration>, alive: Option<Weak<()>>, job: Job) {
        let mut queue = lock(&self.shared.queue);
        queue.count += 1;
        let order = queue.count;
        queue.entries.push(Reverse(Entry { due, order, every, alive, job }));
        drop(queue);
        self.shared.changed.notify_one();
    }
}

fn tick(sender: SyncSender<()>) -> Job {
    Box::new(move || !matches!(sender.try_send(()), Err(TrySendError::Disconnected(()))))
}

fn lock(queue: &Mutex<Queue>) -> MutexGuard<'_, Queue> {
    queue.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run(shared: &Shared) {
    loop {
        let mut entry = next(shared);
        let wanted = entry.alive.as_ref().is_none_or(|a| a.strong_count() > 0);
        if !wanted || !(entry.job)() {
            continue;
        }
        if let Some(period) = entry.every {
            entry.due = (entry.due + period).max(Instant::now());
            lock(&shared.queue).entries.push(Reverse(entry));
        }
    }
}

/// Waits for the next entry that is due and takes it out.
fn next(shared: &Shared) -> Entry {
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
