//! The timer service.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    fmt, io,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, mpsc::Sender},
    thread::{self, JoinHandle},
};

use godwitspool_types::Millis;

use crate::Clock;

/// What a subscriber gets when its time has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tick {
    /// The time now.
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
    next: u64,
    queue: BinaryHeap<Reverse<Subscription>>,
    stopped: bool,
}

/// Sends one tick; false once the subscriber is gone.
type Send = Box<dyn Fn(Tick) -> bool + std::marker::Send>;

struct Subscription {
    due: Millis,
    order: u64,
    period: Option<Millis>,
    send: Send,
}

impl Subscription {
    fn rank(&self) -> (Millis, u64) {
        (self.due, self.order)
    }
}

impl Eq for Subscription {}

impl Ord for Subscription {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank().cmp(&other.rank())
    }
}

impl PartialEq for Subscription {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank()
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
    /// Starts the service's thread.
    ///
    /// # Errors
    ///
    /// When no thread can be started.
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

    /// Returns the clock by which the timer goes.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Sends a tick after each period, until the receiver is dropped.
    ///
    /// A subscriber that falls behind gets one tick for all the periods that it missed.
    pub fn every<Event>(&self, period: Millis, subscriber: Sender<Event>)
    where
        Event: From<Tick> + std::marker::Send + 'static,
    {
        self.add(period, Some(period), subscriber);
    }

    /// Sends one tick after a time.
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
        state.next += 1;
        let subscription = Subscription {
            due: self.clock.now() + span,
            order: state.next,
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
        let heard = (first.send)(Tick { now });
        if let (true, Some(period)) = (heard, first.period) {
            let next = first.due + period;
            first.due = if next > now { next } else { now + period };
            self.queue.push(Reverse(first));
        }
    }
}
