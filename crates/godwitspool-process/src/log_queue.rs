//! A logger that never blocks the thread that logs.

use std::{
    collections::HashMap,
    fmt::Write as _,
    io::{self, Write},
    iter,
    os::fd::AsFd,
    sync::{
        Arc, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use godwitspool_sync::Mutex;
use log::{Level, LevelFilter, SetLoggerError};
use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    stdio::stdout,
};

use crate::{LogFormat, logs::line};

/// Lines that the queue holds. A line has some 200 bytes, so a full queue stays under 1 MB.
const QUEUE_CAPACITY: usize = 4_096;
/// Limit on lines of one kind, except warnings. A host starts and ends at most a few dozen items a
/// second.
const MAX_LINES_PER_S: u32 = 200;
/// Limit on warnings and errors of one kind. They report failures, so they are suppressed last.
const MAX_WARNINGS_PER_S: u32 = 1_000;

/// A writable pipe takes a line shorter than this without blocking (POSIX `PIPE_BUF`).
const PIPE_BUF_BYTES: usize = 4_096;
/// Limit on the flush when the process ends: half of the second that a drain reserves for it.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits the number of lines per second for each kind of line.
///
/// The kind is the message or, for a message with arguments, the target.
///
/// ```
/// use godwitspool_process::LogRateLimit;
/// use log::Level;
///
/// let mut limit = LogRateLimit::default();
/// let written = (0..10_000).filter(|_| limit.admit("item starts", Level::Info, 7)).count();
/// assert!(written < 1_000);
/// assert_eq!(limit.take_suppressed(8), [("item starts".to_owned(), 10_000 - written as u32)]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LogRateLimit {
    second: u64,
    /// Lines in the current second by kind and by whether they are warnings or errors.
    counts: HashMap<(String, bool), u32>,
    suppressed: HashMap<String, u32>,
}

impl LogRateLimit {
    /// Counts a line and returns whether it is within the limit for its kind and second.
    pub fn admit(&mut self, kind: &str, level: Level, second: u64) -> bool {
        if second != self.second {
            self.second = second;
            self.counts.clear();
        }
        let max_lines = if level <= Level::Warn {
            MAX_WARNINGS_PER_S
        } else {
            MAX_LINES_PER_S
        };
        let key = (kind.to_owned(), level <= Level::Warn);
        let count = self.counts.entry(key).or_default();
        *count += 1;
        let admitted = *count <= max_lines;
        if !admitted {
            *self.suppressed.entry(kind.to_owned()).or_default() += 1;
        }
        admitted
    }

    /// Takes the number of suppressed lines by kind, once a later second has begun.
    pub fn take_suppressed(&mut self, second: u64) -> Vec<(String, u32)> {
        if second <= self.second || self.suppressed.is_empty() {
            return Vec::new();
        }
        let mut suppressed: Vec<_> = self.suppressed.drain().collect();
        suppressed.sort();
        suppressed
    }
}

/// Installs the process's logger, which writes to standard output.
///
/// A line is written directly while the output is writable, since waking a thread costs more than
/// the write; otherwise it is queued. Lines that don't fit into the queue are dropped and counted.
///
/// # Errors
///
/// Fails if a logger is already installed or the thread can't be started.
pub fn install_queue(format: LogFormat) -> io::Result<LogQueue> {
    let (lines, receiver) = LineSink::new(stdout());
    let (drop_count, waiting) = (Arc::clone(&lines.dropped), Arc::clone(&lines.waiting));
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &drop_count, &waiting, io::stdout()))?;
    let queue = LogQueue {
        sender: lines.sender.clone(),
    };
    let set: Result<(), SetLoggerError> = fern::Dispatch::new()
        .level(LevelFilter::Info)
        .chain(fern::Output::call(log_to(format, lines)))
        .apply();
    set.map_err(io::Error::other)?;
    Ok(queue)
}

/// The output and the queue in front of it.
struct LineSink<O> {
    /// Lines dropped since the last report.
    dropped: Arc<AtomicU64>,
    output: Mutex<O>,
    sender: SyncSender<Entry>,
    /// Lines in the queue. Direct writes pause while it is above 0, to keep the lines in order.
    waiting: Arc<AtomicU64>,
}

impl<O: AsFd> LineSink<O> {
    fn new(output: O) -> (Self, Receiver<Entry>) {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
        let lines = Self {
            dropped: Arc::default(),
            output: Mutex::new(output),
            sender,
            waiting: Arc::default(),
        };
        (lines, receiver)
    }

    /// Writes or queues a line without blocking.
    fn send(&self, line: String) {
        let output = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        let has_queued = self.waiting.load(Ordering::SeqCst) > 0;
        let has_unreported = self.dropped.load(Ordering::SeqCst) > 0;
        if !has_queued && !has_unreported && line.len() < PIPE_BUF_BYTES && is_writable(&*output) {
            let text = line + "\n";
            let written = rustix::io::write(&*output, text.as_bytes());
            if written != Ok(text.len()) {
                self.dropped.fetch_add(1, Ordering::SeqCst);
            }
            return;
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        if self.sender.try_send(Entry::Line(line)).is_err() {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            self.dropped.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Returns whether the output takes a line shorter than [`PIPE_BUF_BYTES`] without blocking.
fn is_writable(output: &impl AsFd) -> bool {
    let mut polled = [PollFd::new(output, PollFlags::OUT)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let ready = poll(&mut polled, Some(&no_wait));
    ready.is_ok() && polled[0].revents().contains(PollFlags::OUT)
}

enum Entry {
    Line(String),
    /// The channel closes once all entries before this one are written.
    Flush(SyncSender<()>),
}

/// A handle of the installed logger that flushes its queue on drop, for at most half a second.
#[derive(Debug)]
pub struct LogQueue {
    sender: SyncSender<Entry>,
}

impl Drop for LogQueue {
    fn drop(&mut self) {
        let (done, written) = sync_channel(0);
        // A full queue means that nobody reads the output, so there is no point in waiting.
        if self.sender.try_send(Entry::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn log_to<O: AsFd + Send>(
    format: LogFormat,
    lines: LineSink<O>,
) -> impl Fn(&log::Record<'_>) + Send + Sync {
    let limit = Mutex::new(LogRateLimit::default());
    move |record| {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let kind = record.args().as_str().unwrap_or(record.target());
        let mut limit = limit.lock().unwrap_or_else(PoisonError::into_inner);
        let suppressed = limit.take_suppressed(since_epoch.as_secs());
        let admitted = limit.admit(kind, record.level(), since_epoch.as_secs());
        drop(limit);
        for (kind, count) in suppressed {
            lines.send(suppressed_line(since_epoch, &kind, count));
        }
        if admitted {
            lines.send(line(format, since_epoch, record));
        }
    }
}

fn suppressed_line(since_epoch: Duration, kind: &str, count: u32) -> String {
    let (seconds, millis) = (since_epoch.as_secs(), since_epoch.subsec_millis());
    format!(
        "time={seconds}.{millis:03} level=warn message=\"lines left out\" kind={kind:?} count={count}"
    )
}

/// Writes queued lines until all senders are dropped, and reports the number of dropped lines.
fn write_lines(
    receiver: &Receiver<Entry>,
    dropped: &AtomicU64,
    waiting: &AtomicU64,
    mut output: impl Write,
) {
    while let Ok(first) = receiver.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        let mut taken = 0;
        for entry in iter::once(first).chain(receiver.try_iter().take(QUEUE_CAPACITY)) {
            match entry {
                Entry::Line(line) => {
                    taken += 1;
                    text.push_str(&line);
                    text.push('\n');
                }
                Entry::Flush(done) => flushes.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::SeqCst);
        if lost > 0 {
            // Writing to a string doesn't fail.
            let _ = writeln!(text, "level=warn message=\"lines dropped\" count={lost}");
        }
        // A write error means that nobody reads the output, so there is nowhere to report it. After
        // a failed flush the next write fails.
        if output.write_all(text.as_bytes()).is_ok() {
            let _ = output.flush();
        }
        waiting.fetch_sub(taken, Ordering::SeqCst);
        drop(flushes);
    }
}

#[cfg(test)]
mod tests;
