//! Runs one fake as a separate process until the process is killed.

use std::{net::SocketAddr, process::ExitCode, thread, time::Duration};

use godwitspool_fakes::{
    Engine, EngineOptions, PlainOptions, PlainService, Platform, PlatformOptions, Scorer,
};
use lexopt::prelude::*;

const HELP: &str = "\
godwitspool-fakes platform|engine|plain|scorer [OPTION]...

Runs one fake service for trying out godwitspool. Prints its address and runs until it is killed.

  --listen IP:PORT   address to listen on (default: 127.0.0.1 and any free port)
  --name NAME        target name of an engine or plain service (default: target)
  --model MODEL      model that an engine serves (default: model)
  --weights VERSION  initial weight version of an engine (default: v1)
  --step-ms N        base time of an engine's step, in milliseconds (default: 8)
  --targets FILE     JSON file with targets that the platform lists
  --hosts FILE       JSON file with the platform's host list
  --help";
const SLEEP_INTERVAL: Duration = Duration::from_hours(1);

struct Arguments {
    hosts: Option<String>,
    kind: String,
    listen: SocketAddr,
    model: String,
    name: String,
    step_ms: u64,
    targets: Option<String>,
    weights: String,
}

fn main() -> ExitCode {
    let arguments = match parse() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn parse() -> Result<Option<Arguments>, lexopt::Error> {
    let mut arguments = Arguments {
        hosts: None,
        kind: String::new(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        model: "model".to_owned(),
        name: "target".to_owned(),
        step_ms: 8,
        targets: None,
        weights: "v1".to_owned(),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") => return Ok(None),
            Long("hosts") => arguments.hosts = Some(parser.value()?.string()?),
            Long("listen") => arguments.listen = parser.value()?.parse()?,
            Long("model") => arguments.model = parser.value()?.string()?,
            Long("name") => arguments.name = parser.value()?.string()?,
            Long("step-ms") => arguments.step_ms = parser.value()?.parse()?,
            Long("targets") => arguments.targets = Some(parser.value()?.string()?),
            Long("weights") => arguments.weights = parser.value()?.string()?,
            Value(kind) if arguments.kind.is_empty() => arguments.kind = kind.string()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(arguments))
}

fn run(arguments: &Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let listen = arguments.listen;
    match arguments.kind.as_str() {
        "platform" => {
            let platform = Platform::start(PlatformOptions {
                listen,
                ..PlatformOptions::default()
            })?;
            if let Some(file) = &arguments.hosts {
                platform.set_hosts(serde_json::from_slice(&std::fs::read(file)?)?);
            }
            if let Some(file) = &arguments.targets {
                platform.set_targets(serde_json::from_slice(&std::fs::read(file)?)?);
            }
            wait(platform.address(), &platform)
        }
        "engine" => {
            let engine = Engine::start(EngineOptions {
                listen,
                model: arguments.model.as_str().into(),
                step_ms: arguments.step_ms,
                target: arguments.name.as_str().into(),
                weights: arguments.weights.as_str().into(),
                ..EngineOptions::default()
            })?;
            wait(engine.address(), &engine)
        }
        "plain" => {
            let target = arguments.name.as_str().into();
            let service = PlainService::start(PlainOptions {
                listen,
                target,
                ..PlainOptions::default()
            })?;
            wait(service.address(), &service)
        }
        "scorer" => {
            let scorer = Scorer::start(listen, 1)?;
            wait(scorer.address(), &scorer)
        }
        other => {
            Err(format!("unknown fake {other:?}: not platform, engine, plain or scorer").into())
        }
    }
}

/// Prints the address and keeps the fake running until the process is killed.
fn wait<T>(address: SocketAddr, _fake: &T) -> ! {
    println!("{address}");
    loop {
        thread::sleep(SLEEP_INTERVAL);
    }
}
