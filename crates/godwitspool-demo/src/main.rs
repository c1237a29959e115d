//! `godwitspool-demo`: runs the whole system in one process.

use std::{fs::File, io::BufWriter, path::Path, process::ExitCode};

use godwitspool_demo::{Command, DemoError, DemoOptions, Outcome, run};

const HELP: &str = "\
godwitspool-demo [FOLDER] [--seconds N] [--seed N] [--faults LIST] [--json FILE] [--history FILE]

Runs the deployment of an operators' folder (default: examples/habimana) in one process: an entry
and a steward in each data centre, a fake platform with its targets, callers and trainers.

  --faults LIST   all, none, or some of engine-crash, host-restart, key-withdrawal, log-outage,
                  lost-answer, partition, paused-holder, poison, reclaim, stream-silence,
                  swap-failure, separated by commas
  --history FILE  writes the observed events to FILE, one JSON object per line
  --json FILE     writes the figures to FILE as JSON
  --quiet         prints no progress during the run
  --seconds N     how long callers and trainers run, in seconds (default: 15)
  --seed N        seed of the fault schedule (default: 1)
  --help
  --version

Exit status: 0 done, 1 a promise was broken or the run failed, 2 findings in the folder or on the
command line. For a broken promise, the lines of the history that show it are printed.";

fn main() -> ExitCode {
    let options = match Command::parse(std::env::args_os().skip(1)) {
        Ok(Command::Run(options)) => options,
        Ok(Command::Help) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Ok(Command::Version) => {
            println!("godwitspool-demo {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    match run_demo(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error @ DemoError::Folder { .. }) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the demo and returns whether all promises were kept.
fn run_demo(options: &DemoOptions) -> Result<bool, DemoError> {
    let faults = options
        .faults
        .iter()
        .map(|kind| kind.as_str())
        .collect::<Vec<_>>()
        .join(",");
    let faults = if faults.is_empty() { "none" } else { &faults };
    println!(
        "{}, {} s, seed {}, faults: {faults}",
        options.folder.display(),
        options.seconds,
        options.seed
    );
    let outcome = run(options, |line| {
        if !options.quiet {
            println!("{line}");
        }
    })?;
    println!("{outcome}");
    if let Some(path) = &options.json {
        write(path, |file| {
            serde_json::to_writer_pretty(file, &outcome.figures).map_err(Into::into)
        })?;
    }
    if let Some(path) = &options.history {
        write(path, |file| outcome.history.write(file))?;
    }
    Ok(has_no_violations(&outcome))
}

fn has_no_violations(outcome: &Outcome) -> bool {
    outcome.violations.is_empty()
}

fn write(
    path: &Path,
    write: impl FnOnce(BufWriter<File>) -> std::io::Result<()>,
) -> Result<(), DemoError> {
    let result = File::create(path).and_then(|file| write(BufWriter::new(file)));
    result.map_err(|source| DemoError::Write {
        path: path.to_owned(),
        source,
    })
}
