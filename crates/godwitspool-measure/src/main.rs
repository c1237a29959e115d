//! Measures slopes and policies: `godwitspool-measure COMMAND [--seed N] [--out DIR]`.

use std::process::ExitCode;

use godwitspool_measure::{Command, Options};
use lexopt::prelude::{Long, Short, Value, ValueExt};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const USAGE_ERROR: u8 = 2;

/// What the command line asks for.
enum Ask {
    Help,
    Run(&'static Command, Options),
}

fn main() -> ExitCode {
    match parse() {
        Ok(Ask::Help) => {
            print_help();
            ExitCode::SUCCESS
        }
        Ok(Ask::Run(command, options)) => run(command, &options),
        Err(error) => {
            eprintln!("godwitspool-measure: {error}");
            ExitCode::from(USAGE_ERROR)
        }
    }
}

fn parse() -> Result<Ask, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut command = None;
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Ask::Help),
            Long("out") => options.out = parser.value()?.into(),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Value(name) if command.is_none() => {
                let name = name.string()?;
                let found = Command::named(&name);
                command = Some(found.ok_or_else(|| format!("no command {name:?}; see --help"))?);
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(command.map_or(Ask::Help, |command| Ask::Run(command, options)))
}

fn print_help() {
    println!("godwitspool-measure COMMAND [--seed N] [--out DIR]\n");
    for command in Command::ALL {
        println!("  {:<14} {}", command.name, command.about);
    }
}

fn run(command: &Command, options: &Options) -> ExitCode {
    for table in (command.run)(options) {
        println!("{table}");
        if let Err(error) = table.write_csv(&options.out) {
            eprintln!("godwitspool-measure: {}: {error}", options.out.display());
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
