//! Stand-ins of the platform, workers and clients, and the cases that use them: `stand CASE RECORD`.
//!
//! Ends with status 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod http;
mod store;
mod system;
mod text;
mod worker;

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let (Some(case), Some(record)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("stand CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    match cases::run(case, record, trouble) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
