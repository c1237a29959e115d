//! A timer thread that sends ticks to channels.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    fmt, io,
    sync::{Arc, PoisonError, mpsc::Sender},
    thread::{self, JoinHandle},
};

use godwitspool_sync::{Condvar, Mutex, MutexGuard};
use godwitspool_types::Millis;

use crate::Clock;

/// A message to a subscriber whose time is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tick {
    /// The timer's clock when the tick was sent.
    pub now: Millis,
}

/// Sends ticks to its subscribers' channels until it is dropped.
///
/// ```
/// use std::sync::mpsc;
///
/// use godwitspool_process::{Clock, Tick, Timer};
/// use godwitspool_types::Millis;
///
/// let timer = Timer::start(Clock::start()).unwrap();
/// let (sender, ticks) = mpsc::channel::<Tick>();
/// timer.every(Millis(5), sender);
/// assert!(ticks.recv().unwrap().now >= Millis(5));
/// ```
pub struct Timer {
    clock: Clock,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    last_sequence: u64,
    queue: BinaryHeap<Reverse<Subscription>>,
    stopped: bool,
}

/// Sends one tick; returns false if the receiver was dropped.
type SendTick = Box<dyn Fn(Tick) -> bool + std::marker::Send>;

struct Subscription {
    due: Millis,
    /// Keeps subscriptions that are due at the same time in the order they were added.
    sequence: u64,
    period: Option<Millis>,
    send: SendTick,
}

impl Subscription {
    fn sort_key(&self) -> (Millis, u64) {
        (self.due, self.sequence)
    }
}

impl Eq for Subscription {}

impl Ord for Subscription {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.sort_key().cmp(&other.sort_key())
    }
}

impl PartialEq for Subscription {
    fn eq(&self, other: &Self) -> bool {
        self.sort_key() == other.sort_key()
    }
}

impl PartialOrd for Subscription {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Debug for Timer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Timer")
            .field("clock", &self.clock)
            .finish_non_exhaustive()
    }
}

impl Timer {
    /// Starts the timer's thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(clock: Clock) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let own = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || own.run(clock))?;
        Ok(Self {
            clock,
            shared,
            thread: Some(thread),
        })
    }

    /// Returns the timer's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Sends a tick after each period until the receiver is dropped. The shortest period is 1 ms.
    ///
    /// If the timer falls behind, it sends one tick for all the periods that it missed.
    pub fn every<Event>(&self, period: Millis, subscriber: Sender<Event>)
    where
        Event: From<Tick> + std::marker::Send + 'static,
    {
        self.add(period, Some(period), subscriber);
    }

    /// Sends one tick after `span`.
    pub fn after<Event>(&self, span: Millis, subscriber: Sender<Event>)
    where
        Event: From<Tick> + std::marker::Send + 'static,
    {
        self.add(span, None, subscriber);
    }

    fn add<Event>(&self, span: Millis, period: Option<Millis>, subscriber: Sender<Event>)
    where
        Event: From<Tick> + std::marker::Send + 'static,
    {
        let mut state = self.shared.lock();
        state.last_sequence += 1;
        let subscription = Subscription {
            due: self.clock.now() + span,
            sequence: state.last_sequence,
            period: period.map(|period| period.max(Millis(1))),
            send: Box::new(move |tick| subscriber.send(tick.into()).is_ok()),
        };
        state.queue.push(Reverse(subscription));
        drop(state);
        self.shared.changed.notify_all();
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.changed.notify_all();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, clock: Clock) {
        let mut state = self.lock();
        while !state.stopped {
            let now = clock.now();
            let due = state.queue.peek().map(|Reverse(first)| first.due);
            state = match due {
                Some(due) if due <= now => {
                    state.fire(now);
                    state
                }
                Some(due) => {
                    let waited = self.changed.wait_timeout(state, (due - now).duration());
                    waited.unwrap_or_else(PoisonError::into_inner).0
                }
                None => {
                    let waited = self.changed.wait(state);
                    waited.unwrap_or_else(PoisonError::into_inner)
                }
            };
        }
    }
}

impl State {
    fn fire(&mut self, now: Millis) {
        let Some(Reverse(mut first)) = self.queue.pop() else {
            return;
        };
        let sent = (first.send)(Tick { now });
        if let (true, Some(period)) = (sent, first.period) {
            let next = first.due + period;
            first.due = if next > now { next } else { now + period };
            self.queue.push(Reverse(first));
        }
    }
}
