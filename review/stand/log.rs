//! The record of a case.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

pub struct Log {
    began: Instant,
    file: Mutex<File>,
    refused: Mutex<u64>,
}

/// Number of refusals of items that are recorded one by one; the others are only counted.
const MAX_REFUSALS: u64 = 40;

impl Log {
    pub fn create(path: &str) -> Self {
        Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
            refused: Mutex::new(0),
        }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    pub fn refused(&self, text: &str) {
        let mut refused = self.refused.lock().unwrap();
        *refused += 1;
        if *refused <= MAX_REFUSALS {
            self.line(text);
        }
    }

    pub fn refusals(&self) -> u64 {
        *self.refused.lock().unwrap()
    }
}
