//! Stand-ins and clients of the cases of the review. `stand CASE RECORD` plays a case and exits with 0 if
//! the rule held, 1 if it was broken and 2 if the case couldn't run.

mod calls;
mod http;
mod kept;
mod pinned;
mod same;
mod store;
mod stream;
mod system;
mod text;
mod worker;

use std::{panic, process::ExitCode, time::Duration};

/// How a case ended.
pub enum Outcome {
    Broken,
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("stand CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    system::limit_time(Duration::from_secs(110));
    let (case, record) = (case.clone(), record.clone());
    let played = panic::catch_unwind(|| match case.as_str() {
        "kept" => kept::play(trouble, &record),
        "pinned" => pinned::play(trouble, &record),
        "same" => same::play(trouble, &record),
        "stream" => stream::play(trouble, &record),
        _ => Ok(Outcome::NotRun(format!("no case {case}"))),
    });
    let played = played.unwrap_or_else(|_| Ok(Outcome::NotRun("a stand-in panicked".to_owned())));
    match played {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Ok(Outcome::NotRun(why)) => {
            eprintln!("not run: {why}");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("not run: {error}");
            ExitCode::from(2)
        }
    }
}
