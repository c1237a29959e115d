//! Trainers' idle time through faults, over real sockets in one process.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use serde_json::json;

use super::trainer_system::TrainerSystem;
use crate::{Options, Table};

const STEPS: u64 = 16;
/// Step before which the fault begins, and before which it ends.
const FAULT_STEP: u64 = 4;
const MEND_STEP: u64 = 12;
const GROUPS: u32 = 6;
const SAMPLES: u32 = 4;
/// Time that the trainer trains on a batch, while the next one is made.
const TRAIN: Duration = Duration::from_secs(1);

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    HomeDies,
    LogOutage,
    None,
    Reclaim,
}

pub(super) fn measure(_options: &Options) -> Table {
    let columns = [
        "fault",
        "steps",
        "waited_s",
        "total_s",
        "idle_percent",
        "longest_wait_s",
    ];
    let mut table = Table::new("idle", &columns);
    for fault in [
        Fault::None,
        Fault::LogOutage,
        Fault::HomeDies,
        Fault::Reclaim,
    ] {
        match train(fault) {
            Ok(row) => table.push_row(row),
            Err(error) => eprintln!("idle through {fault:?} is missing: {error}"),
        }
    }
    table
}

/// Trains steps, each submitted while the one before it is trained on.
fn train(fault: Fault) -> io::Result<[String; 6]> {
    let mut system = TrainerSystem::start(3, 4)?;
    system.submit(0, GROUPS, SAMPLES)?;
    let (mut waited, mut longest) = (Duration::ZERO, Duration::ZERO);
    // The first step has nothing to hide behind and isn't counted.
    let batch = system.fetch(0)?;
    system.submit(1, GROUPS, SAMPLES)?;
    system.acknowledge(0, &batch)?;
    let start = Instant::now();
    for step in 1..=STEPS {
        if step == FAULT_STEP {
            begin(fault, &mut system);
        }
        if step == MEND_STEP && fault == Fault::LogOutage {
            system.platform.set_outage(false);
        }
        thread::sleep(TRAIN);
        let asked = Instant::now();
        let batch = system.fetch(step)?;
        system.submit(step + 1, GROUPS, SAMPLES)?;
        system.acknowledge(step, &batch)?;
        waited += asked.elapsed();
        longest = longest.max(asked.elapsed());
    }
    let total = start.elapsed();
    Ok([
        format!("{fault:?}"),
        STEPS.to_string(),
        format!("{:.2}", waited.as_secs_f64()),
        format!("{:.2}", total.as_secs_f64()),
        format!("{:.2}", waited.as_secs_f64() / total.as_secs_f64() * 100.0),
        format!("{:.2}", longest.as_secs_f64()),
    ])
}

fn begin(fault: Fault, system: &mut TrainerSystem) {
    match fault {
        Fault::HomeDies => system.kill_home(),
        Fault::LogOutage => system.platform.set_outage(true),
        Fault::None => {}
        Fault::Reclaim => {
            let names = system.platform.reclaim(&"south".into(), 5_000);
            log::info!("{} reclaimed", json!(names));
        }
    }
}
