//! Failures on the interactive path, over real sockets.

#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

mod cluster;

use std::{net::TcpStream, sync::atomic::AtomicBool, thread, time::Duration};

use cluster::{Cluster, KEY, generate, json, long_prompt, text, wait_until};
use godwitspool_connection::platform::TargetState;
use godwitspool_fakes::{Engine, EngineEvent, PlainFault};
use godwitspool_types::Key;
use rstest::rstest;

/// Returns the number of requests that an engine has received.
fn received(engine: &Engine) -> usize {
    let history = engine.history();
    let received = |event: &EngineEvent| matches!(event, EngineEvent::Received { .. });
    history
        .iter()
        .filter(|record| received(&record.event))
        .count()
}

/// Waits until an engine has received a request, and returns that engine.
fn busy_engine(cluster: &Cluster) -> &Engine {
    wait_until(|| cluster.engines.iter().any(|engine| received(engine) > 0));
    cluster
        .engines
        .iter()
        .find(|engine| received(engine) > 0)
        .unwrap()
}

#[derive(Clone, Copy, Debug)]
enum Break {
    Crash,
    Cut,
    Silence,
}

#[rstest]
#[case(Break::Crash)]
#[case(Break::Cut)]
#[case(Break::Silence)]
fn a_stream_that_breaks_off_is_resumed_to_one_whole_answer(#[case] fault: Break) {
    let cluster = Cluster::start(1, 3, 0, 30);
    let prompt = long_prompt(60, 80);
    thread::scope(|scope| {
        let answer = scope.spawn(|| cluster.generate(0, &prompt, 80));
        let engine = busy_engine(&cluster);
        thread::sleep(Duration::from_millis(900));
        match fault {
            Break::Crash => engine.crash(),
            Break::Cut => engine.relay().cut(),
            Break::Silence => engine.silence(),
        }
        answer.join().unwrap().assert_whole(&prompt, 80);
    });
    assert_eq!(cluster.engines.iter().map(received).sum::<usize>(), 2);
    let starts = cluster.engines.iter().flat_map(Engine::history);
    let starts = starts.filter_map(|record| match record.event {
        EngineEvent::Received { start, .. } => Some(start),
        _ => None,
    });
    assert!(
        starts.max().unwrap() > 0,
        "the second engine resumes after the tokens of the first"
    );
    let metrics = cluster.metrics(0);
    assert!(
        metrics.contains("retries_total{reason=\"stream-broken\"} 1"),
        "{metrics}"
    );
}

#[test]
fn a_pooled_connection_that_died_silently_costs_no_request() {
    let cluster = Cluster::start(1, 2, 0, 5);
    for turn in 0..4 {
        let prompt = format!("warm {turn}");
        cluster.generate(0, &prompt, 5).assert_whole(&prompt, 5);
    }
    cluster.engines.iter().for_each(Engine::silence);
    cluster.generate(0, "after", 5).assert_whole("after", 5);
}

#[test]
fn a_call_that_may_not_be_repeated_is_answered_unknown_and_ran_once() {
    let cluster = Cluster::start(1, 0, 2, 5);
    for plain in &cluster.plains {
        plain.set_fault(PlainFault::Cut);
    }
    let answer = cluster.order(0, "once", None);
    assert_eq!(
        (answer.status, answer.reason().as_str()),
        (502, "target-lost")
    );
    assert_eq!(answer.ran(), "unknown");
    assert_eq!(
        cluster
            .plains
            .iter()
            .map(|plain| plain.calls("once"))
            .sum::<usize>(),
        1
    );
}

#[test]
fn a_call_goes_to_another_target_when_the_first_was_not_reached() {
    let cluster = Cluster::start(1, 0, 2, 5);
    cluster.plains[0].crash();
    for turn in 0..6 {
        let call = format!("call-{turn}");
        assert_eq!(cluster.order(0, &call, None).status, 200);
        assert_eq!(cluster.plains[1].calls(&call), 1);
    }
}

#[test]
fn an_idempotency_key_holds_through_another_host() {
    let cluster = Cluster::start(3, 0, 2, 5);
    let calls = |call: &str| {
        cluster
            .plains
            .iter()
            .map(|plain| plain.calls(call))
            .sum::<usize>()
    };
    let first = cluster.order(0, "paid", Some("k1"));
    assert_eq!(first.status, 200);
    for entry in 0..3 {
        let again = cluster.order(entry, "paid", Some("k1"));
        assert_eq!((again.status, &again.body), (200, &first.body));
    }
    assert_eq!(calls("paid"), 1);
    let other = cluster.order(1, "else", Some("k1"));
    assert_eq!(
        (other.reason().as_str(), calls("else")),
        ("key-mismatch", 0)
    );

    cluster
        .plains
        .iter()
        .for_each(|plain| plain.set_fault(PlainFault::Cut));
    let lost = cluster.order(1, "lost", Some("k2"));
    assert_eq!(lost.ran(), "unknown");
    cluster
        .plains
        .iter()
        .for_each(|plain| plain.set_fault(PlainFault::None));
    for entry in 0..3 {
        let again = cluster.order(entry, "lost", Some("k2"));
        assert_eq!(
            (again.reason().as_str(), again.ran().as_str()),
            ("fate-unknown", "unknown")
        );
    }
    assert_eq!(calls("lost"), 1);
}

#[test]
fn a_key_survives_the_loss_of_a_home() {
    let cluster = Cluster::start(4, 0, 1, 5);
    let first: Vec<_> = (0..12)
        .map(|turn| cluster.order(turn % 4, &format!("c{turn}"), Some(&format!("k{turn}"))))
        .collect();
    cluster.publish(|view| {
        view.members.remove(3);
    });
    for (turn, first) in first.iter().enumerate() {
        let again = cluster.order(turn % 3, &format!("c{turn}"), Some(&format!("k{turn}")));
        assert_eq!((again.status, &again.body), (200, &first.body));
        assert_eq!(cluster.plains[0].calls(&format!("c{turn}")), 1);
    }
}

#[test]
fn a_withdrawn_key_cuts_open_streams_and_opens_no_new_ones() {
    let cluster = Cluster::start(2, 2, 0, 40);
    let prompt = long_prompt(150, 200);
    thread::scope(|scope| {
        let open: Vec<_> = (0..2)
            .map(|entry| {
                scope.spawn({
                    let (cluster, prompt) = (&cluster, &prompt);
                    move || cluster.generate(entry, prompt, 200)
                })
            })
            .collect();
        wait_until(|| cluster.engines.iter().map(received).sum::<usize>() == 2);
        cluster.configure(|configuration| {
            let rules = configuration.workspaces.get_mut("acme").unwrap();
            rules.keys[0].withdrawn = true;
        });
        for entry in 0..2 {
            let refused = cluster.generate(entry, "new", 4);
            assert_eq!(
                (refused.status, refused.reason().as_str()),
                (401, "key-withdrawn")
            );
            assert_eq!(refused.ran(), "not-run");
        }
        for answer in open {
            let answer = answer.join().unwrap();
            assert_eq!(answer.reason(), "key-withdrawn-midway");
            assert!(!answer.body.contains("[DONE]"));
        }
    });
}

#[test]
fn a_poison_crashes_three_targets_at_most_and_can_be_lifted() {
    let cluster = Cluster::start(2, 6, 0, 5);
    let mut reason = String::new();
    for turn in 0..8 {
        reason = cluster.generate(turn % 2, "a poison-prompt", 5).reason();
    }
    assert_eq!(reason, "quarantined");
    let crashed = cluster.engines.iter().filter(|engine| engine.is_crashed());
    assert!((1..=3).contains(&crashed.count()));
    cluster
        .generate(0, "innocent", 5)
        .assert_whole("innocent", 5);

    let operators = cluster.entries[1].operator_address();
    let listed = json(&format!("http://{operators}/quarantine"));
    let fingerprint = listed["quarantined"][0].as_str().unwrap().to_owned();
    let lift = format!("http://{operators}/quarantine/lift/{fingerprint}");
    cluster::agent().post(lift).send_empty().unwrap();
    wait_until(|| {
        let page = json(&format!("http://{operators}/quarantine"));
        page["quarantined"].as_array().is_some_and(Vec::is_empty)
    });
}

#[test]
fn innocents_beside_a_poison_are_answered() {
    let cluster = Cluster::start(1, 6, 0, 10);
    let prompts: Vec<String> = (0..24).map(|index| format!("innocent {index}")).collect();
    thread::scope(|scope| {
        let answers: Vec<_> = prompts
            .iter()
            .map(|prompt| scope.spawn(|| cluster.generate(0, prompt, 40)))
            .collect();
        thread::sleep(Duration::from_millis(60));
        for _ in 0..4 {
            cluster.generate(0, "a poison-prompt", 5);
        }
        for (answer, prompt) in answers.into_iter().zip(&prompts) {
            answer.join().unwrap().assert_whole(prompt, 40);
        }
    });
}

#[test]
fn no_target_sees_a_key_and_no_page_shows_one() {
    let cluster = Cluster::start(1, 1, 1, 5);
    cluster.generate(0, "a", 4).assert_whole("a", 4);
    let order = cluster.order(0, "b", Some("k"));
    for record in cluster.engines[0].history() {
        if let EngineEvent::Received { key, .. } = record.event {
            assert_eq!(key, None);
        }
    }
    assert!(
        cluster.plains[0]
            .history()
            .iter()
            .all(|call| call.key.is_none())
    );
    let operators = cluster.entries[0].operator_address();
    let explained = text(&format!("http://{operators}/explain/{}", order.id));
    assert!(explained.contains("\"step\":\"sent\""), "{explained}");
    for page in [
        explained,
        cluster.metrics(0),
        text(&format!("http://{operators}/status")),
    ] {
        assert!(!page.contains(KEY) && !page.contains(&Key::from(KEY).digest().to_string()));
    }
}

#[test]
fn limits_refuse_with_a_reason_a_time_and_a_counter() {
    let cluster = Cluster::start(1, 1, 0, 5);
    cluster.configure(|configuration| {
        configuration.workspaces.get_mut("acme").unwrap().rate_per_s = 2;
    });
    let answers: Vec<_> = (0..6)
        .map(|turn| cluster.generate(0, &format!("p{turn}"), 2))
        .collect();
    let refused: Vec<_> = answers
        .iter()
        .filter(|answer| answer.status == 429)
        .collect();
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|answer| answer.reason() == "rate-limit"));
    assert!(refused.iter().all(|answer| answer.ran() == "not-run"));
    let counted = format!("refusals_total{{reason=\"rate-limit\"}} {}", refused.len());
    assert!(cluster.metrics(0).contains(&counted));
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    let cluster = Cluster::start(1, 2, 0, 5);
    cluster.publish(|view| view.targets[0].state = TargetState::Leaving);
    for turn in 0..10 {
        let prompt = format!("p{turn}");
        cluster.generate(0, &prompt, 3).assert_whole(&prompt, 3);
    }
    assert_eq!(received(&cluster.engines[0]), 0);
    cluster.publish(|view| view.targets[1].state = TargetState::Reclaimed);
    let refused = cluster.generate(0, "none", 3);
    assert_eq!(
        (refused.reason().as_str(), refused.ran().as_str()),
        ("no-target", "not-run")
    );
}

#[test]
fn a_drain_serves_on_while_the_balancer_lags_and_cuts_no_stream() {
    let cluster = Cluster::start(1, 2, 0, 20);
    let prompt = long_prompt(60, 80);
    let ready = format!("http://{}/readyz", cluster.entries[0].operator_address());
    thread::scope(|scope| {
        let stream = scope.spawn(|| cluster.generate(0, &prompt, 80));
        busy_engine(&cluster);
        let drain = scope
            .spawn(|| cluster.entries[0].drain(Duration::from_secs(15), &AtomicBool::new(false)));
        wait_until(|| json(&ready)["ready"] == false);
        cluster.generate(0, "late", 3).assert_whole("late", 3);
        stream.join().unwrap().assert_whole(&prompt, 80);
        assert_eq!(drain.join().unwrap(), 0);
    });
    let refused = cluster.generate(0, "too late", 3);
    assert_eq!(
        (refused.reason().as_str(), refused.ran().as_str()),
        ("draining", "not-run")
    );
}

#[test]
fn a_thousand_idle_connections_keep_no_caller_out() {
    let cluster = Cluster::start(1, 1, 0, 5);
    let address = cluster.entries[0].address();
    let idle: Vec<TcpStream> = (0..1_000)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    generate(address, KEY, "in front", 3).assert_whole("in front", 3);
    drop(idle);
}
