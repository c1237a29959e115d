//! What this process and its threads have used, as the operating system counts it.

use std::{fs, io, path::Path};

/// Clock ticks a second in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;
const PAGE_BYTES: f64 = 4_096.0;
/// Fields of `/proc/self/stat` behind the program's name, counted from 0.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const RESIDENT_PAGES: usize = 21;

/// What this process has used, threads that have ended included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessUsage {
    /// Processor time in microseconds, in steps of 10 ms.
    pub(crate) cpu_us: f64,
    /// Resident memory in bytes.
    pub(crate) resident_bytes: f64,
}

impl ProcessUsage {
    /// Reads the counters.
    pub(crate) fn read() -> io::Result<Self> {
        let text = fs::read_to_string("/proc/self/stat")?;
        let behind_name = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<f64> = behind_name
            .split_whitespace()
            .map(|field| field.parse().unwrap_or(0.0))
            .collect();
        let field = |index: usize| fields.get(index).copied().unwrap_or(0.0);
        Ok(Self {
            cpu_us: (field(USER_TICKS) + field(SYSTEM_TICKS)) / TICKS_PER_S * 1e6,
            resident_bytes: field(RESIDENT_PAGES) * PAGE_BYTES,
        })
    }
}

/// Returns the processor time in microseconds of the living threads of a name.
///
/// A thread without a name of its own has the name of the thread that started it.
pub(crate) fn threads_cpu_us(name: &str) -> io::Result<f64> {
    let mut sum = 0.0;
    for entry in fs::read_dir("/proc/self/task")? {
        let path = entry?.path();
        // A thread may end between the listing and the look at it.
        if fs::read_to_string(path.join("comm")).is_ok_and(|comm| comm.trim() == name) {
            sum += schedule_us(&path).unwrap_or(0.0);
        }
    }
    Ok(sum)
}

/// Returns the processor time in microseconds of the calling thread.
pub(crate) fn own_thread_cpu_us() -> io::Result<f64> {
    schedule_us(Path::new("/proc/thread-self"))
}

fn schedule_us(folder: &Path) -> io::Result<f64> {
    let text = fs::read_to_string(folder.join("schedstat"))?;
    let nanoseconds = text
        .split_whitespace()
        .next()
        .and_then(|field| field.parse::<f64>().ok());
    Ok(nanoseconds.unwrap_or(0.0) / 1e3)
}
