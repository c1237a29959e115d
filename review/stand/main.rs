//! Stand-ins and the course of each case: `stand CASE FOLDER`. `TROUBLE=0` leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod cases;
mod log;
mod net;
mod store;
mod system;
mod worker;

use std::{env, panic, process::exit};

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("stand CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let (case, folder) = (case.clone(), folder.clone());
    let result = panic::catch_unwind(move || cases::run(&case, &folder, trouble));
    system::end_all();
    exit(result.unwrap_or(2));
}
