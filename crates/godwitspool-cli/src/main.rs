//! The operators' command line: `godwitspool COMMAND`.

use std::{io, process::ExitCode};

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1);
    let status = godwitspool_cli::run(arguments, &mut io::stdout(), &mut io::stderr());
    ExitCode::from(status)
}
