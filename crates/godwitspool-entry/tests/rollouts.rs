//! Trainers' steps over real sockets, also while hosts, engines and the log fail.

#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

mod trainer_system;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    thread,
    time::Duration,
};

use godwitspool_connection::platform::{TargetEntry, TargetState};
use godwitspool_entry::Entry;
use godwitspool_fakes::{Engine, EngineEvent, Scorer, SwapFault};
use serde_json::{Value, json};
use trainer_system::{
    System, agent, check, configuration, hash_of, number, read, submission, wait_until,
};

#[test]
fn a_step_comes_whole_through_any_entry() {
    let system = System::start(3, 2, "");
    for step in 1..4 {
        system.submit(step as usize, step);
        system.submit(step as usize + 1, step);
        let batch = system.fetch(step as usize + 2, step);
        check(step, &batch);
        assert_eq!(system.fetch(step as usize, step), batch, "a lost answer");
        system.acknowledge(step as usize, step, &batch);
        system.acknowledge(step as usize + 1, step, &batch);
        let (status, body) = system.get(0, &format!("{step}/batch"));
        assert_eq!(
            (status, &body["error"]["reason"]),
            (409, &json!("acknowledged"))
        );
    }
    let (status, body) = system.get(0, "9/batch");
    assert_eq!(
        (status, &body["error"]["reason"]),
        (404, &json!("unknown-step"))
    );
}

#[test]
fn a_key_of_another_workspace_is_refused() {
    let system = System::start(1, 1, "");
    let url = format!(
        "http://{}/v1/trainers/motifs/steps/1/batch",
        system.address(0)
    );
    let answer = agent()
        .get(url)
        .header("Authorization", "Bearer other")
        .call();
    assert_eq!(read(answer).0, 401);
}

#[test]
fn an_engine_that_crashes_loses_and_doubles_no_sample() {
    let system = System::start(2, 3, "");
    system.submit(0, 1);
    let engines = system.platform.engines();
    wait_until(|| engines.iter().any(|engine| !engine.history().is_empty()));
    thread::sleep(Duration::from_millis(100));
    engines[0].crash();
    engines[1].silence();
    let batch = system.fetch(0, 1);
    check(1, &batch);
}

#[test]
fn a_step_survives_the_death_of_any_host() {
    for victim in 0..3 {
        let mut system = System::start(3, 2, "");
        system.submit(0, 1);
        system.submit(1, 2);
        let first = system.fetch(0, 1);
        system.kill(victim);
        assert_eq!(system.fetch(0, 1), first, "host {victim} was killed");
        system.acknowledge(1, 1, &first);
        let second = system.fetch(1, 2);
        check(2, &second);
        system.acknowledge(0, 2, &second);
    }
}

/// Guards against a step that is lost with its only host: a host that has not read the list of hosts yet
/// takes itself for the only one, keeps a step without a replica, and is killed.
#[test]
fn a_host_that_knows_no_other_accepts_no_step() {
    let mut system = System::start(1, 2, "");
    let listed = system.hosts.clone();
    system.platform.set_hosts(Vec::new());
    // The list follows after its lag.
    thread::sleep(Duration::from_millis(300));
    system.add(1);
    wait_until(|| system.entries.iter().flatten().all(Entry::ready));
    for _ in 0..2 {
        let (status, body) = system.post(1, "1/groups", &submission(1));
        assert_ne!(status, 200, "{body}");
    }
    system.platform.set_hosts(listed);
}

#[test]
fn a_log_outage_holds_up_no_step() {
    let system = System::start(2, 2, "");
    system.submit(0, 1);
    system.platform.set_outage(true);
    let first = system.fetch(0, 1);
    system.acknowledge(0, 1, &first);
    system.submit(1, 2);
    let second = system.fetch(1, 2);
    check(2, &second);
    system.acknowledge(0, 2, &second);
}

#[test]
fn samples_of_reclaimed_targets_resume_on_other_targets() {
    let system = System::start(1, 3, "");
    system.submit(0, 1);
    let engines = system.platform.engines();
    wait_until(|| engines.iter().any(|engine| !engine.history().is_empty()));
    let targets: Vec<TargetEntry> = system
        .platform
        .targets()
        .into_iter()
        .enumerate()
        .map(|(at, entry)| TargetEntry {
            state: if at < 2 {
                TargetState::Reclaimed
            } else {
                entry.state
            },
            ..entry
        })
        .collect();
    let reclaimed: BTreeSet<_> = targets[..2]
        .iter()
        .map(|entry| entry.target.clone())
        .collect();
    system.platform.set_targets(targets);
    thread::sleep(Duration::from_secs(1));
    for engine in engines
        .iter()
        .filter(|engine| reclaimed.contains(engine.target()))
    {
        engine.crash();
    }
    let batch = system.fetch(0, 1);
    check(1, &batch);
}

#[test]
fn samples_carry_their_score_or_the_scoring_error() {
    let scorer = Scorer::start(SocketAddr::from(([127, 0, 0, 1], 0)), 1).unwrap();
    let system = System::start(1, 2, "party/score");
    let mut targets = system.platform.targets();
    let with_scorer = |system: &System, targets: &mut Vec<TargetEntry>, address| {
        targets.push(TargetEntry {
            address,
            class: "scorers".into(),
            dc: "north".into(),
            model: "".into(),
            service: "party/score".into(),
            state: TargetState::Live,
            target: "scorer".into(),
        });
        system.platform.set_targets(targets.clone());
    };
    with_scorer(&system, &mut targets, scorer.address());
    system.submit(0, 1);
    let batch = system.fetch(0, 1);
    check(1, &batch);
    let samples = batch["samples"].as_array().unwrap();
    assert!(samples.iter().all(|sample| sample["score"].is_f64()));
    targets.retain(|target| target.target.as_str() != "scorer");
    // Nobody listens on this port.
    with_scorer(&system, &mut targets, SocketAddr::from(([127, 0, 0, 1], 1)));
    thread::sleep(Duration::from_millis(600));
    system.submit(0, 2);
    let batch = system.fetch(0, 2);
    let samples = batch["samples"].as_array().unwrap();
    assert!(
        samples
            .iter()
            .all(|sample| sample["score_error"].is_string())
    );
    assert!(samples.iter().all(|sample| sample.get("score").is_none()));
}

#[test]
fn new_weights_reach_all_engines_and_no_sample_is_mislabelled() {
    let mut system = System::start(1, 4, "");
    let engines = system.platform.engines();
    engines[0].set_swap_fault(SwapFault::FalseSuccess);
    engines[1].set_swap_fault(SwapFault::Fails);
    let mut configuration = configuration("");
    for (step, version) in (1..).zip(["v2", "v3", "v4"]) {
        system.submit(0, step);
        configuration = system.publish_weights(&configuration, version);
        let healthy = &engines[2..];
        wait_until(|| {
            healthy
                .iter()
                .all(|engine| engine.weights().as_str() == version)
        });
        let batch = system.fetch(0, step);
        check(step, &batch);
        check_labels(step, &batch, &engines);
        system.acknowledge(0, step, &batch);
    }
    assert_eq!(engines[0].weights().as_str(), "v1");
    engines[0].set_swap_fault(SwapFault::None);
    engines[1].set_swap_fault(SwapFault::None);
    system.publish_weights(&configuration, "v5");
    wait_until(|| {
        engines
            .iter()
            .all(|engine| engine.weights().as_str() == "v5")
    });
}

/// Checks that engines generated the tokens of each sample with the versions that its spans name.
fn check_labels(step: u64, batch: &Value, engines: &[Arc<Engine>]) {
    let mut used_versions: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    for record in engines.iter().flat_map(|engine| engine.history()) {
        if let EngineEvent::Ended { prompt, spans, .. } = record.event {
            let versions = spans.iter().map(|span| span.version.to_string());
            used_versions.entry(prompt).or_default().extend(versions);
        }
    }
    for sample in batch["samples"].as_array().unwrap() {
        let (group, index) = (number(sample, "group"), number(sample, "index"));
        let hash = hash_of(step, group, index);
        for span in sample["spans"].as_array().unwrap() {
            let version = span["version"].as_str().unwrap();
            assert!(
                used_versions[&hash].contains(version),
                "{step}/{group}/{index}: {span}"
            );
        }
    }
}

#[test]
fn a_sample_is_explained() {
    let system = System::start(1, 1, "");
    system.submit(0, 1);
    system.fetch(0, 1);
    let (status, lines) = system.get(0, "1/samples/0/0");
    assert_eq!(status, 200);
    let text = lines.to_string();
    assert!(
        text.contains("started on") && text.contains("of v1"),
        "{text}"
    );
}
