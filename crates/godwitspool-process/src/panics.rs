use std::{
    panic::{self, PanicHookInfo},
    process, thread,
};

/// Exit status of a process of which a worker thread has panicked.
const PANIC_STATUS: i32 = 101;

/// Logs each panic with its thread and place from now on, besides writing it to standard error.
pub fn log_panics() {
    let default = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log_panic(info);
        default(info);
    }));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let current = thread::current();
    let place = info.location().map(ToString::to_string);
    let reason = info.payload_as_str().and_then(|text| text.lines().next());
    log::error!(thread = current.name(), place, reason; "thread panicked");
}

/// Ends the process when it is dropped by a panic.
///
/// A worker thread that the process can't do without holds one. The process is started again by
/// whatever supervises it, while a process without the thread would only look alive.
#[derive(Debug, Default)]
pub struct ExitOnPanic(());

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if thread::panicking() {
            log::error!(thread = thread::current().name(); "process exits: it can't go on without the thread");
            process::exit(PANIC_STATUS);
        }
    }
}
