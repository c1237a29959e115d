//! A bounded thread pool that grows when jobs are queued.

use std::{
    collections::VecDeque,
    sync::{Arc, PoisonError},
    thread,
};

use godwitspool_sync::{Condvar, Mutex, MutexGuard};

type Job = Box<dyn FnOnce() + Send>;

/// Runs jobs on at most a fixed number of threads.
#[derive(Clone)]
pub(super) struct Pool(Arc<Shared>);

struct Shared {
    max_threads: usize,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    idle: usize,
    jobs: VecDeque<Job>,
    stopped: bool,
    threads: usize,
}

impl Pool {
    pub fn new(max_threads: usize) -> Self {
        Self(Arc::new(Shared {
            max_threads,
            state: Mutex::default(),
            changed: Condvar::new(),
        }))
    }

    /// Queues a job. Blocks while as many jobs are queued as there may be threads; drops the job
    /// when the pool has stopped.
    pub fn submit(&self, job: Job) {
        let mut state = self.0.lock();
        while state.jobs.len() >= self.0.max_threads && !state.stopped {
            state = self.0.wait(state);
        }
        if state.stopped {
            return;
        }
        state.jobs.push_back(job);
        if state.idle < state.jobs.len() && state.threads < self.0.max_threads {
            state.threads += 1;
            let shared = Arc::clone(&self.0);
            let worker = thread::Builder::new().name("peer-work".to_owned());
            if worker.spawn(move || shared.work()).is_err() {
                state.threads -= 1;
            }
        }
        drop(state);
        self.0.changed.notify_all();
    }

    /// Takes no further jobs and ends the threads once the queued ones are done.
    pub fn stop(&self) {
        self.0.lock().stopped = true;
        self.0.changed.notify_all();
    }

    /// Waits until all threads have ended.
    pub fn join(&self) {
        let mut state = self.0.lock();
        while state.threads > 0 {
            state = self.0.wait(state);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(&self, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        self.changed
            .wait(state)
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs jobs until the pool stops.
    fn work(&self) {
        let _exit = ThreadExit(self);
        let mut state = self.lock();
        loop {
            if let Some(job) = state.jobs.pop_front() {
                drop(state);
                self.changed.notify_all();
                job();
                state = self.lock();
            } else if state.stopped {
                return;
            } else {
                state.idle += 1;
                state = self.wait(state);
                state.idle -= 1;
            }
        }
    }
}

/// Decrements the number of threads on drop, so also when a job panics.
struct ThreadExit<'a>(&'a Shared);

impl Drop for ThreadExit<'_> {
    fn drop(&mut self) {
        self.0.lock().threads -= 1;
        self.0.changed.notify_all();
    }
}
