//! Locks whose order is checked while tests run.
//!
//! These are the locks of the standard library. With debug assertions, they record the order in
//! which each thread acquires them, and an acquisition that closes a cycle panics at once, whether
//! or not the threads would have blocked each other in this run. Releases use the plain locks.
//!
//! `docs/design/locks.md` lists the order of locks for each process.
//!
//! ```
//! use godwitspool_sync::Mutex;
//!
//! let count = Mutex::new(1);
//! *count.lock().unwrap() += 1;
//! assert_eq!(*count.lock().unwrap(), 2);
//! ```

pub use tracing_mutex::stdsync::{
    Condvar, Mutex, MutexGuard, RwLock, RwLockReadGuard, RwLockWriteGuard,
};
