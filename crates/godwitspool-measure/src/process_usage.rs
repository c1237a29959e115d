//! CPU time and memory of this process and its threads, as Linux reports them in `/proc`.

use std::{fs, io, path::Path};

/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;
const PAGE_BYTES: f64 = 4_096.0;
// Indices of fields in `/proc/self/stat`, counted from 0 after the program's name.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;
const RESIDENT_PAGES_FIELD: usize = 21;

/// Resource usage of this process, including threads that have ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessUsage {
    /// CPU time in microseconds, with a resolution of 10 ms.
    pub(crate) cpu_us: f64,
    /// Resident set size in bytes.
    pub(crate) resident_bytes: f64,
}

impl ProcessUsage {
    /// Reads the current values from `/proc/self/stat`.
    pub(crate) fn read() -> io::Result<Self> {
        let text = fs::read_to_string("/proc/self/stat")?;
        let after_name = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<f64> = after_name
            .split_whitespace()
            .map(|field| field.parse().unwrap_or(0.0))
            .collect();
        let field = |index: usize| fields.get(index).copied().unwrap_or(0.0);
        Ok(Self {
            cpu_us: (field(USER_TICKS_FIELD) + field(SYSTEM_TICKS_FIELD)) / TICKS_PER_S * 1e6,
            resident_bytes: field(RESIDENT_PAGES_FIELD) * PAGE_BYTES,
        })
    }
}

/// Returns the CPU time in microseconds of all running threads with this name.
///
/// A thread that is started without a name inherits the name of the thread that started it.
pub(crate) fn threads_cpu_us(name: &str) -> io::Result<f64> {
    let mut sum = 0.0;
    for entry in fs::read_dir("/proc/self/task")? {
        let path = entry?.path();
        // A thread may end after the directory was listed.
        if fs::read_to_string(path.join("comm")).is_ok_and(|comm| comm.trim() == name) {
            sum += schedstat_us(&path).unwrap_or(0.0);
        }
    }
    Ok(sum)
}

/// Returns the CPU time of the calling thread in microseconds.
pub(crate) fn own_thread_cpu_us() -> io::Result<f64> {
    schedstat_us(Path::new("/proc/thread-self"))
}

fn schedstat_us(folder: &Path) -> io::Result<f64> {
    let text = fs::read_to_string(folder.join("schedstat"))?;
    let nanoseconds = text
        .split_whitespace()
        .next()
        .and_then(|field| field.parse::<f64>().ok());
    Ok(nanoseconds.unwrap_or(0.0) / 1e3)
}
