//! `godwitspool-demo`: the whole system at work in one process.

use std::{fs::File, io::BufWriter, path::Path, process::ExitCode};

use godwitspool_demo::{Command, DemoError, DemoOptions, Outcome, run};

const USAGE: &str = "\
godwitspool-demo [FOLDER] [--seconds N] [--seed N] [--faults LIST] [--json FILE] [--history FILE]

Runs the deployment of an operators' folder (examples/habimana) in one process: an entry and a
steward in each data centre, the platform with its targets, callers and trainers.

  --faults LIST   all, none, or some of engine-crash, host-restart, key-withdrawal, log-outage,
                  lost-answer, partition, paused-holder, poison, reclaim, stream-silence,
                  swap-failure, with commas between
  --history FILE  what was observed, one JSON object a line
  --json FILE     the figures
  --quiet         show nothing while it runs
  --seconds N     time for which callers and trainers work (15)
  --seed N        seed of the fault schedule (1)
  --help
  --version

Ends with status 1 when a promise was broken, and shows the lines of the history that say so.";

fn main() -> ExitCode {
    let options = match Command::parse(std::env::args_os().skip(1)) {
        Ok(Command::Run(options)) => options,
        Ok(Command::Help) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Ok(Command::Version) => {
            println!("godwitspool-demo {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match show(&options) {
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
fn show(options: &DemoOptions) -> Result<bool, DemoError> {
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
    Ok(is_kept(&outcome))
}

fn is_kept(outcome: &Outcome) -> bool {
    outcome.violations.is_empty()
}

fn write(
    path: &Path,
    write: impl FnOnce(BufWriter<File>) -> std::io::Result<()>,
) -> Result<(), DemoError> {
    let written = File::create(path).and_then(|file| write(BufWriter::new(file)));
    written.map_err(|source| DemoError::Write {
        path: path.to_owned(),
        source,
    })
}
