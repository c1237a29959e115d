//! Stand-ins and clients of the cases of the review. `stand CASE RECORD` plays a case and exits with 0 if
//! the rule held, 1 if it was broken and 2 if the case couldn't run.

mod batches;
mod http;
mod kept;
mod memory;
mod pinned;
mod store;
mod stream;
mod system;
mod text;
mod trial;
mod worker;

use std::process::ExitCode;

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
    let played = match case.as_str() {
        "end" => batches::end(trouble, record),
        "kept" => kept::play(trouble, record),
        "memory" => memory::play(trouble, record),
        "same" => batches::same(trouble, record),
        "trial" => trial::play(trouble, record),
        "pinned" => pinned::play(trouble, record),
        "stream" => stream::play(trouble, record),
        _ => Ok(Outcome::NotRun(format!("no case {case}"))),
    };
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
