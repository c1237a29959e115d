//! Cases of the second review. `stand CASE RECORD`, with the environment variable `TROUBLE`.

mod cases;
mod net;
mod record;
mod site;
mod store;
mod worker;

use std::{env, process::ExitCode, sync::Arc};

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
    let outcome = cases::run(case, &record, trouble);
    let (code, text) = match outcome {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(broken)) => (1, format!("broken: {broken}")),
        Err(error) => (2, format!("the case couldn't run: {error}")),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
