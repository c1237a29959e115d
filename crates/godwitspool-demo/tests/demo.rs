//! The command line, the fault schedule and short runs.

use std::path::PathBuf;

use godwitspool_demo::{Command, DemoOptions, Fault, FaultKind, plan, run};
use rstest::rstest;

fn folder(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn options(arguments: &[&str]) -> DemoOptions {
    match Command::parse(arguments).expect("a valid command line") {
        Command::Run(options) => options,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_command_line_names_folder_faults_and_files() {
    let options = options(&[
        "examples/mtkvari",
        "--seconds",
        "3",
        "--seed",
        "9",
        "--faults",
        "poison,reclaim",
        "--json",
        "a.json",
    ]);
    assert_eq!(options.folder, PathBuf::from("examples/mtkvari"));
    assert_eq!((options.seconds, options.seed), (3, 9));
    assert_eq!(options.faults, [FaultKind::Poison, FaultKind::Reclaim]);
    assert_eq!(options.json, Some(PathBuf::from("a.json")));
}

#[test]
fn faults_all_selects_every_kind() {
    assert_eq!(options(&["--faults", "all"]).faults, FaultKind::ALL);
}

#[rstest]
#[case::fault(&["--faults", "earthquake"])]
#[case::number(&["--seed", "x"])]
#[case::option(&["--fault", "all"])]
fn a_wrong_command_line_is_refused(#[case] arguments: &[&str]) {
    assert!(Command::parse(arguments).is_err());
}

#[rstest]
#[case::short(5_000)]
#[case::long(600_000)]
fn every_kind_comes_within_the_run(#[case] run_ms: u64) {
    let faults = plan(3, &FaultKind::ALL, run_ms);
    for kind in FaultKind::ALL {
        assert!(
            faults.iter().any(|fault| fault.kind == kind),
            "{kind} is missing"
        );
    }
    assert!(faults.iter().all(|fault| fault.at_ms < run_ms));
    assert!(faults.is_sorted_by_key(|fault| fault.at_ms));
}

#[test]
fn seeds_decide_the_schedule() {
    let schedule = |seed| -> Vec<Fault> { plan(seed, &FaultKind::ALL, 20_000) };
    assert_eq!(schedule(1), schedule(1));
    assert_ne!(schedule(1), schedule(2));
}

#[test]
fn names_of_faults_parse_back() {
    for kind in FaultKind::ALL {
        assert_eq!(kind.to_string().parse(), Ok(kind));
    }
}

#[rstest]
#[case::habimana("habimana")]
#[case::mtkvari("mtkvari")]
fn a_run_without_faults_breaks_no_promise(#[case] name: &str) {
    let options = DemoOptions::default()
        .with_folder(folder(name))
        .with_seconds(3);
    let outcome = run(&options, drop).unwrap();
    let violations = outcome
        .violations
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    assert!(outcome.figures.interactive_ok > 0);
    assert_eq!(outcome.figures.interactive_failed, 0);
}

#[test]
fn a_folder_with_findings_is_refused_with_all_of_them() {
    let error = run(&DemoOptions::default().with_folder("no such folder"), drop).unwrap_err();
    assert!(error.to_string().contains("no such folder"), "{error}");
}
