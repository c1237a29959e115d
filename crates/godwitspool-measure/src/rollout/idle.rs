//! Idle time of a trainer during faults, over real sockets in one process.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use serde_json::json;

use super::trainer_system::TrainerSystem;
use crate::{Options, Table};

const STEPS: u64 = 16;
/// The fault is injected before this step.
const FAULT_STEP: u64 = 4;
/// A log outage is ended before this step.
const FAULT_END_STEP: u64 = 12;
const GROUPS: u32 = 6;
const GROUP_SAMPLES: u32 = 4;
/// Time that the trainer spends on a batch while the samples of the next one are generated.
const TRAINING_TIME: Duration = Duration::from_secs(1);

/// The injected fault.
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
        match run_steps(fault) {
            Ok(row) => table.push_row(row),
            Err(error) => eprintln!("idle time during fault {fault:?} was not measured: {error}"),
        }
    }
    table
}

/// Runs all steps with one fault. The samples of a step are generated while the trainer works on
/// the batch before it.
fn run_steps(fault: Fault) -> io::Result<[String; 6]> {
    let mut system = TrainerSystem::start(3, 4)?;
    system.submit(0, GROUPS, GROUP_SAMPLES)?;
    let (mut waited, mut longest_wait) = (Duration::ZERO, Duration::ZERO);
    // Step 0 is not counted, since no training overlaps with its generation.
    let batch = system.fetch(0)?;
    system.submit(1, GROUPS, GROUP_SAMPLES)?;
    system.acknowledge(0, &batch)?;
    let start = Instant::now();
    for step in 1..=STEPS {
        if step == FAULT_STEP {
            inject(fault, &mut system);
        }
        if step == FAULT_END_STEP && fault == Fault::LogOutage {
            system.platform.set_outage(false);
        }
        thread::sleep(TRAINING_TIME);
        let fetch_started = Instant::now();
        let batch = system.fetch(step)?;
        system.submit(step + 1, GROUPS, GROUP_SAMPLES)?;
        system.acknowledge(step, &batch)?;
        waited += fetch_started.elapsed();
        longest_wait = longest_wait.max(fetch_started.elapsed());
    }
    let total = start.elapsed();
    Ok([
        format!("{fault:?}"),
        STEPS.to_string(),
        format!("{:.2}", waited.as_secs_f64()),
        format!("{:.2}", total.as_secs_f64()),
        format!("{:.2}", waited.as_secs_f64() / total.as_secs_f64() * 100.0),
        format!("{:.2}", longest_wait.as_secs_f64()),
    ])
}

fn inject(fault: Fault, system: &mut TrainerSystem) {
    match fault {
        Fault::HomeDies => system.kill_home(),
        Fault::LogOutage => system.platform.set_outage(true),
        Fault::None => {}
        Fault::Reclaim => {
            let names = system.platform.reclaim(&"south".into(), 5_000);
            log::info!("reclaiming targets {}", json!(names));
        }
    }
}
