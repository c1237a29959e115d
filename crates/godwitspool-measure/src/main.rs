//! Runs one measurement: `godwitspool-measure COMMAND [--seed N] [--out DIR]`.

use std::{path::Path, process::ExitCode};

use godwitspool_measure::{Command, Options, draw_plots, page_matches, write_page};
use lexopt::prelude::{Long, Short, Value, ValueExt};

/// Command that computes the tables of the capacity page from the fitted slopes.
const CAPACITY: &str = "capacity";
/// Command that draws plots from the CSV files of other commands.
const PLOTS: &str = "plots";
const CAPACITY_PAGE: &str = "docs/CAPACITY.md";
const USAGE_ERROR: u8 = 2;

/// What to do, as parsed from the command line.
enum Action {
    Capacity { check: bool, options: Options },
    Help,
    Plots(Options),
    Run(&'static Command, Options),
}

fn main() -> ExitCode {
    match parse() {
        Ok(Action::Capacity { check, options }) => capacity(check, &options),
        Ok(Action::Help) => {
            print_help();
            ExitCode::SUCCESS
        }
        Ok(Action::Plots(options)) => plots(&options),
        Ok(Action::Run(command, options)) => run(command, &options),
        Err(error) => {
            eprintln!("godwitspool-measure: {error}");
            ExitCode::from(USAGE_ERROR)
        }
    }
}

fn parse() -> Result<Action, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut name, mut check) = (None, false);
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Action::Help),
            Long("check") => check = true,
            Long("out") => options.out = parser.value()?.into(),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Value(value) if name.is_none() => name = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    match name.as_deref() {
        None => Ok(Action::Help),
        Some(PLOTS) if !check => Ok(Action::Plots(options)),
        Some(CAPACITY) => Ok(Action::Capacity { check, options }),
        Some(_) if check => Err("--check is only valid with the command \"capacity\"".into()),
        Some(name) => match Command::by_name(name) {
            Some(command) => Ok(Action::Run(command, options)),
            None => Err(format!("unknown command {name:?}; --help lists the commands").into()),
        },
    }
}

fn print_help() {
    println!("godwitspool-measure COMMAND [--seed N] [--out DIR]\n");
    for command in Command::ALL {
        println!("  {:<14} {}", command.name, command.about);
    }
    println!("  {PLOTS:<14} draws the main slopes and the straggler policies from their CSV files");
    println!("  {CAPACITY:<14} computes {CAPACITY_PAGE} from fits.csv; --check only compares");
}

fn run(command: &Command, options: &Options) -> ExitCode {
    for table in (command.run)(options) {
        println!("{table}");
        if let Err(error) = table.write_csv(&options.out) {
            eprintln!(
                "godwitspool-measure: can't write CSV files to {}: {error}",
                options.out.display()
            );
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn capacity(check: bool, options: &Options) -> ExitCode {
    let page = Path::new(CAPACITY_PAGE);
    let result = if check {
        page_matches(&options.out, page)
    } else {
        write_page(&options.out, page).map(|tables| {
            for table in tables {
                println!("{table}");
            }
            true
        })
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!(
                "{CAPACITY_PAGE} does not match fits.csv in {}; run without --check to update it",
                options.out.display()
            );
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("godwitspool-measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn plots(options: &Options) -> ExitCode {
    match draw_plots(&options.out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!(
                "godwitspool-measure: can't draw plots in {}: {error}",
                options.out.display()
            );
            ExitCode::FAILURE
        }
    }
}
