//! `godwitspool explain ID FILE...` with log lines of hosts whose clocks differ.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{fs, path::PathBuf};

use rstest::rstest;

/// Log of the host that accepted a batch. Its clock is right.
const NORTH: &str = r#"
time=100.000 level=info part=h::process message="host starts" host=north version=0.1.0
time=101.000 level=info part=h::tails message="version named" model=m version=2 offset=1
time=102.000 level=info part=h::tails message="configuration in force" version=3 offset=4
time=103.000 level=info part=h::reports message="load begins" target_name=e-1 model=m version=2
time=110.000 level=info part=h::calls message="batch submitted" batch=b-1 step=4 stored=Ok(()) partition=2
time=110.001 level=info part=h::calls message="batch submitted" batch=b-2 step=5 stored=Ok(()) partition=3
time=111.000 level=info part=h::forward message="request not served" request=r-1 tried="[\"t-1\", \"t-2\"]" ended=Ok(Failed(504))
cut off within a li
"#;

/// Log of the host that ran the batch's items. Its clock is two seconds behind.
const SOUTH: &str = r#"
time=98.000 level=info part=h::process message="host starts" host=south version=0.1.0
time=99.000 level=info part=h::tails message="version named" model=m version=2 offset=1
time=100.002 level=info part=h::tails message="configuration in force" version=3 offset=4
time=101.001 level=info part=h::reports message="load ordered" target_name=e-1 model=m version=2 ordered=Ok(Accepted)
time=108.010 level=info part=h::owner message="batch taken over" batch=b-1 partition=2
time=108.020 level=info part=h::runner message="item starts" batch=b-1 item=i-1 target_name=e-1 resume_after=None
time=108.030 level=info part=h::runner message="item starts" batch=b-1 item=i-2 target_name=e-2 resume_after=None
time=108.500 level=info part=h::runner message="run moves" item=i-1 target_name=e-1 reason=Silent
time=108.900 level=warn part=h::owner message="store call failed, repeated" partition=2 what="append results" error="no effect: busy"
time=109.500 level=info part=h::runner message="item completed" batch=b-1 item=i-1 target_name=e-1 versions="[1, 2]"
time=109.600 level=info part=h::tails message="target gone" target_name=t-2 service=s
"#;

/// Log of a third host. Its clock is right.
const EAST: &str = r#"
time=100.500 level=info part=h::process message="host starts" host=east version=0.1.0
time=101.000 level=info part=h::tails message="version named" model=m version=2 offset=1
time=102.001 level=info part=h::tails message="configuration in force" version=3 offset=4
time=103.002 level=info part=h::reports message="load begins" target_name=e-1 model=m version=2
"#;

/// Writes the hosts' files and explains a subject. Returns the exit status, the output and the
/// errors.
fn explain(test: &str, subject: &str) -> (u8, String, String) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&folder).unwrap();
    let files = [
        ("one.log", NORTH.to_owned()),
        ("three.log", EAST.to_owned()),
        // A collector may put its own time and the host's name before each line.
        ("two.log", SOUTH.replace("time=", "   0.1 south time=")),
    ];
    let mut arguments = vec!["explain".to_owned(), subject.to_owned()];
    for (name, text) in files {
        let path = folder.join(name);
        fs::write(&path, text).unwrap();
        arguments.push(path.display().to_string());
    }
    let (mut out, mut errors) = (Vec::new(), Vec::new());
    let status = godwitspool_cli::run(arguments, &mut out, &mut errors);
    let utf8 = |bytes| String::from_utf8(bytes).unwrap();
    (status, utf8(out), utf8(errors))
}

/// Asserts that the output contains the texts in this order.
fn assert_order(out: &str, texts: &[&str]) {
    let mut from = 0;
    for text in texts {
        let found = out[from..].find(text);
        from += found.unwrap_or_else(|| panic!("{text:?} is missing or out of order in:\n{out}"))
            + text.len();
    }
}

#[test]
fn an_items_timeline_is_in_order_though_the_hosts_clocks_differ() {
    let (status, out, errors) = explain("item", "i-1");
    assert_eq!(status, 0, "{errors}");
    assert_order(
        &out,
        &[
            "clock of south: 2.000 s behind",
            "north: batch submitted batch=b-1",
            "south: batch taken over batch=b-1",
            "*   +0.000 south: item starts",
            "*   +0.480 south: run moves",
            "*   +1.480 south: item completed",
        ],
    );
    assert!(!out.contains("i-2"), "lines of another item:\n{out}");
    assert!(!out.contains("b-2"), "lines of another batch:\n{out}");
}

#[test]
fn a_batchs_timeline_shows_events_of_its_partition() {
    let (status, out, _) = explain("batch", "b-1");
    assert_eq!(status, 0);
    assert_order(
        &out,
        &[
            "batch submitted batch=b-1",
            "item starts batch=b-1 item=i-1",
            "item starts batch=b-1 item=i-2",
            "store call failed, repeated partition=2",
            "item completed",
        ],
    );
}

#[test]
fn a_requests_timeline_shows_the_loss_of_a_target_it_tried() {
    let (status, out, _) = explain("request", "r-1");
    assert_eq!(status, 0);
    assert_order(&out, &["request not served", "target gone target_name=t-2"]);
}

#[test]
fn a_fact_logged_by_several_hosts_is_shown_once() {
    let (status, out, _) = explain("target", "e-1");
    assert_eq!(status, 0);
    let expected = "north: load begins target_name=e-1 model=m version=2 (and 1 other hosts)";
    assert!(out.contains(expected), "{out}");
    let (_, out, _) = explain("model", "m");
    let named = "version named model=m version=2 offset=1 (and 2 other hosts)";
    assert!(out.contains(named), "{out}");
}

#[rstest]
#[case("unknown", "no line names \"unknown\"")]
fn a_subject_that_no_line_names_is_an_error(#[case] subject: &str, #[case] message: &str) {
    let (status, _, errors) = explain("none", subject);
    assert_eq!(status, 1);
    assert!(errors.contains(message), "{errors}");
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let mut errors = Vec::new();
    let arguments = ["explain", "i-1", "/nowhere/hosts.log"];
    let status = godwitspool_cli::run(arguments, &mut Vec::new(), &mut errors);
    assert_eq!(status, 1);
    assert!(
        String::from_utf8(errors)
            .unwrap()
            .contains("/nowhere/hosts.log")
    );
}
