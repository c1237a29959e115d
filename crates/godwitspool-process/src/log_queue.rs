//! Log lines that never hold up the thread that writes them.

use std::{
    collections::HashMap,
    fmt::Write as _,
    io::{self, Write},
    iter,
    os::fd::AsFd,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use log::{Level, LevelFilter, SetLoggerError};
use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    stdio::stdout,
};

use crate::{LogFormat, logs::line};

/// Lines that wait for the output; some 200 bytes each, so under a megabyte.
const QUEUE_LINES: usize = 4_096;
/// Lines of one kind in a second. A host starts and ends some dozen items a second at most.
const KIND_LINES: u32 = 200;
/// Warnings of one kind in a second: they tell of failures and are the last to go.
const WARNING_LINES: u32 = 1_000;

/// Lines shorter than this fit into a pipe that takes anything at all (POSIX, `PIPE_BUF`).
const DIRECT_BYTES: usize = 4_096;
/// Bound on the last write of a process that ends: half of the second that a drain keeps back.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts lines by kind and second, and says which are left out.
///
/// ```
/// use godwitspool_process::LineLimit;
/// use log::Level;
///
/// let mut limit = LineLimit::default();
/// let written = (0..10_000).filter(|_| limit.admit("item starts", Level::Info, 7)).count();
/// assert!(written < 1_000);
/// assert_eq!(limit.take_left_out(8), [("item starts".to_owned(), 10_000 - written as u32)]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LineLimit {
    second: u64,
    /// Lines of this second by kind, warnings by themselves.
    counts: HashMap<(String, bool), u32>,
    left_out: HashMap<String, u32>,
}

impl LineLimit {
    /// Tells whether a line of a kind is written in a second.
    pub fn admit(&mut self, kind: &str, level: Level, second: u64) -> bool {
        if second != self.second {
            self.second = second;
            self.counts.clear();
        }
        let most = if level <= Level::Warn {
            WARNING_LINES
        } else {
            KIND_LINES
        };
        let key = (kind.to_owned(), level <= Level::Warn);
        let count = self.counts.entry(key).or_default();
        *count += 1;
        let admitted = *count <= most;
        if !admitted {
            *self.left_out.entry(kind.to_owned()).or_default() += 1;
        }
        admitted
    }

    /// Takes the counts of lines that were left out before a second.
    pub fn take_left_out(&mut self, second: u64) -> Vec<(String, u32)> {
        if second <= self.second || self.left_out.is_empty() {
            return Vec::new();
        }
        let mut left_out: Vec<_> = self.left_out.drain().collect();
        left_out.sort();
        left_out
    }
}

/// Writes log lines of this process to standard output from now on. A line goes there at once while
/// the output takes it, since waking a thread costs more than the write; otherwise it waits in a
/// queue. Lines that the queue can't hold are left out and counted.
///
/// # Errors
///
/// When a logger is set already or no thread can be started.
pub fn install_queue(format: LogFormat) -> io::Result<LogQueue> {
    let (lines, receiver) = Lines::new(stdout());
    let (lost, waiting) = (Arc::clone(&lines.dropped), Arc::clone(&lines.waiting));
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &lost, &waiting, io::stdout()))?;
    let queue = LogQueue {
        sender: lines.sender.clone(),
    };
    let set: Result<(), SetLoggerError> = fern::Dispatch::new()
        .level(LevelFilter::Info)
        .chain(fern::Output::call(write_to(format, lines)))
        .apply();
    set.map_err(io::Error::other)?;
    Ok(queue)
}

/// Where lines go.
struct Lines<O> {
    /// Lines that neither the output nor the queue took.
    dropped: Arc<AtomicU64>,
    output: Mutex<O>,
    sender: SyncSender<Entry>,
    /// Lines in the queue; while there are any, others don't overtake them.
    waiting: Arc<AtomicU64>,
}

impl<O: AsFd> Lines<O> {
    fn new(output: O) -> (Self, Receiver<Entry>) {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        let lines = Self {
            dropped: Arc::default(),
            output: Mutex::new(output),
            sender,
            waiting: Arc::default(),
        };
        (lines, receiver)
    }

    /// Writes a line or has it wait; never blocks.
    fn send(&self, line: String) {
        let output = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        let overtakes = self.waiting.load(Ordering::SeqCst) > 0;
        let untold = self.dropped.load(Ordering::SeqCst) > 0;
        if !overtakes && !untold && line.len() < DIRECT_BYTES && is_writable(&*output) {
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

/// Tells whether the output takes a short line without blocking.
fn is_writable(output: &impl AsFd) -> bool {
    let mut polled = [PollFd::new(output, PollFlags::OUT)];
    let at_once = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let ready = poll(&mut polled, Some(&at_once));
    ready.is_ok() && polled[0].revents().contains(PollFlags::OUT)
}

/// What waits for the output.
enum Entry {
    Line(String),
    /// Everything before it is to be written, then this channel closed.
    Flush(SyncSender<()>),
}

/// The queue of lines that wait for the output. Dropped, it waits a short time until they are
/// written.
#[derive(Debug)]
pub struct LogQueue {
    sender: SyncSender<Entry>,
}

impl Drop for LogQueue {
    fn drop(&mut self) {
        let (done, written) = sync_channel(0);
        // With a full queue nobody reads the output.
        if self.sender.try_send(Entry::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_to<O: AsFd + Send>(
    format: LogFormat,
    lines: Lines<O>,
) -> impl Fn(&log::Record<'_>) + Send + Sync {
    let limit = Mutex::new(LineLimit::default());
    move |record| {
        let age = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let kind = record.args().as_str().unwrap_or(record.target());
        let mut limit = limit.lock().unwrap_or_else(PoisonError::into_inner);
        let left_out = limit.take_left_out(age.as_secs());
        let admitted = limit.admit(kind, record.level(), age.as_secs());
        drop(limit);
        for (kind, count) in left_out {
            lines.send(left_out_line(age, &kind, count));
        }
        if admitted {
            lines.send(line(format, age, record));
        }
    }
}

fn left_out_line(age: Duration, kind: &str, count: u32) -> String {
    let (seconds, millis) = (age.as_secs(), age.subsec_millis());
    format!(
        "time={seconds}.{millis:03} level=warn message=\"lines left out\" kind={kind:?} count={count}"
    )
}

/// Writes lines until their senders are gone, and how many were dropped since the line before.
fn write_lines(
    receiver: &Receiver<Entry>,
    dropped: &AtomicU64,
    waiting: &AtomicU64,
    mut output: impl Write,
) {
    while let Ok(first) = receiver.recv() {
        let mut text = String::new();
        let mut flushed = Vec::new();
        let mut taken = 0;
        for entry in iter::once(first).chain(receiver.try_iter().take(QUEUE_LINES)) {
            match entry {
                Entry::Line(line) => {
                    taken += 1;
                    text.push_str(&line);
                    text.push('\n');
                }
                Entry::Flush(done) => flushed.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::SeqCst);
        if lost > 0 {
            // Writing to a string doesn't fail.
            let _ = writeln!(text, "level=warn message=\"lines dropped\" count={lost}");
        }
        // If nobody reads the output the lines have nowhere to go; a failed flush shows at the next
        // write.
        if output.write_all(text.as_bytes()).is_ok() {
            let _ = output.flush();
        }
        waiting.fetch_sub(taken, Ordering::SeqCst);
        drop(flushed);
    }
}

#[cfg(test)]
mod tests;
