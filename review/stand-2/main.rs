//! Cases of the second review. `stand CASE RECORD`, with the environment variable `TROUBLE`.

mod cases;
mod net;
mod record;
mod site;
mod store;
mod worker;

use std::{
    env,
    panic::{AssertUnwindSafe, catch_unwind},
    process::{self, ExitCode},
    sync::Arc,
    thread,
    time::Duration,
};

/// Time after which a case is given up, so that it stays below 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let words: Vec<String> = env::args().collect();
    let [_, case, path] = words.as_slice() else {
        eprintln!("stand CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match record::Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, with trouble: {trouble}"));
    let watched = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        site::end_all();
        watched.line("the case couldn't run: it took too long");
        process::exit(2);
    });
    let outcome = catch_unwind(AssertUnwindSafe(|| cases::run(case, &record, trouble)));
    site::end_all();
    let outcome = outcome.unwrap_or_else(|_| Err("a stand-in panicked".to_owned()));
    let (code, text) = match outcome {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(broken)) => (1, format!("broken: {broken}")),
        Err(error) => (2, format!("the case couldn't run: {error}")),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
