//! What was sent, answered and run, in the order in which it happened.

use std::{
    fs::File,
    io::Write,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

/// Number of runs after which no further ones are written out.
const MAX_RUN_LINES: usize = 2_000;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
    run_lines: AtomicUsize,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            began: Instant::now(),
            run_lines: AtomicUsize::new(0),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes a line about a run at a worker, unless there are too many.
    pub fn run_line(&self, text: &str) {
        let number = self.run_lines.fetch_add(1, Ordering::Relaxed);
        if number < MAX_RUN_LINES {
            self.line(text);
        } else if number == MAX_RUN_LINES {
            self.line("further runs aren't written out");
        }
    }
}
