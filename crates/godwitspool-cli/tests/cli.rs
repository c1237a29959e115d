//! The command line against the fake platform and the operator pages of daemons.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{fs, net::TcpListener, path::PathBuf, sync::Arc, thread, time::Duration};

use godwitspool_fakes::{Platform, PlatformOptions};
use godwitspool_process::{Metrics, OperatorApi, OperatorHttp, Readiness};
use godwitspool_types::{Key, Offset};
use godwitspool_version::{Publish, Record, RecordBody};
use rstest::rstest;
use serde_json::{Value, json};

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

/// The output of a command and its exit status.
struct Finished {
    errors: String,
    out: String,
    status: u8,
}

fn run(arguments: &[&str]) -> Finished {
    let (mut out, mut errors) = (Vec::new(), Vec::new());
    let status = godwitspool_cli::run(arguments, &mut out, &mut errors);
    Finished {
        errors: String::from_utf8(errors).unwrap(),
        out: String::from_utf8(out).unwrap(),
        status,
    }
}

fn succeed(arguments: &[&str]) -> String {
    let done = run(arguments);
    assert_eq!(done.status, 0, "{}{}", done.out, done.errors);
    done.out
}

fn platform() -> (Platform, String) {
    let platform = Platform::start(PlatformOptions::default()).unwrap();
    let url = format!("http://{}", platform.address());
    (platform, url)
}

fn habimana() -> String {
    format!("{EXAMPLES}/habimana")
}

/// Writes a configuration folder for one test.
fn folder(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    drop(fs::remove_dir_all(&path));
    fs::create_dir_all(&path).unwrap();
    for (file, text) in files {
        fs::write(path.join(file), text).unwrap();
    }
    path
}

#[rstest]
#[case(
    "habimana",
    "3 data centres, 4 services, 6 classes, 8 workspaces, 3 trainers"
)]
#[case(
    "mtkvari",
    "4 data centres, 4 services, 6 classes, 8 workspaces, 3 trainers"
)]
fn the_examples_pass(#[case] name: &str, #[case] expected: &str) {
    let out = succeed(&["check", &format!("{EXAMPLES}/{name}")]);
    assert!(out.contains(expected), "{out}");
    assert!(out.contains(" wins over "), "{out}");
}

#[test]
fn five_mistakes_are_five_findings_with_their_places() {
    let path = folder(
        "five-mistakes",
        &[
            (
                "10.yaml",
                "party: a\nservices: {desk: {kind: plain, slotz: 8}}\nworkspaces: {w: {rate: 40}}\n",
            ),
            (
                "20.yaml",
                "party: b\nworkspaces:\n  w: {services: {d: dsk}}\n  v: {share: many}\n",
            ),
            (
                "30.yaml",
                "party: b\ntrainers: {t: {service: nothing, workspace: w, step: 7min}}\n",
            ),
        ],
    );
    let done = run(&["check", path.to_str().unwrap()]);
    assert_eq!(done.status, 2);
    let places: Vec<_> = done
        .errors
        .lines()
        .map(|line| line.split(": ").next().unwrap())
        .collect();
    let expected = [
        "10.yaml:2:32",
        "10.yaml:3:24",
        "20.yaml:3:21",
        "20.yaml:4:14",
    ];
    assert_eq!(places[..4], expected, "{}", done.errors);
    assert_eq!(places[4..], ["30.yaml:2:25"], "{}", done.errors);
}

#[test]
fn publish_puts_a_folder_in_force_once() {
    let (platform, url) = platform();
    let dry = succeed(&["publish", &habimana(), "--platform", &url, "--dry-run"]);
    assert!(
        dry.contains("+ workspaces.habimana/weddings.rate_per_s: 300"),
        "{dry}"
    );
    assert!(platform.log(Offset(0)).is_empty());
    let out = succeed(&["publish", &habimana(), "--platform", &url]);
    assert!(out.contains("in force from offset 0"), "{out}");
    let again = succeed(&["publish", &habimana(), "--platform", &url]);
    assert!(again.contains("nothing differs"), "{again}");
    assert_eq!(platform.log(Offset(0)).len(), 1);
}

#[test]
fn publish_refuses_a_folder_with_findings() {
    let (platform, url) = platform();
    let path = folder("one-mistake", &[("10.yaml", "workspaces: {a: {rte: 1/s}}")]);
    let done = run(&["publish", path.to_str().unwrap(), "--platform", &url]);
    assert_eq!(done.status, 2);
    assert!(platform.log(Offset(0)).is_empty());
}

#[test]
fn a_lost_answer_publishes_once() {
    let (platform, url) = platform();
    platform.lose_answers(2);
    let out = succeed(&["publish", &habimana(), "--platform", &url]);
    assert!(out.contains("in force from offset 0"), "{out}");
    assert!(
        platform.log(Offset(0)).len() > 1,
        "the record was not appended again"
    );
}

/// Returns whether a record is a publish whose author had seen no earlier publish.
fn follows_nothing(record: &str) -> bool {
    let body = Record::decode(record).unwrap().body;
    matches!(body, RecordBody::Publish(publish) if publish.base.is_none())
}

#[test]
fn of_two_concurrent_publishes_the_later_fails() {
    const MAX_ATTEMPTS: usize = 10;
    for _ in 0..MAX_ATTEMPTS {
        let (platform, url) = platform();
        platform.set_slow(400);
        let publish = thread::spawn(move || run(&["publish", &habimana(), "--platform", &url]));
        // The command has read the log after 400 ms, and its append takes effect 400 ms later.
        thread::sleep(Duration::from_millis(600));
        let other = RecordBody::Publish(Publish::default());
        let first = platform.append(Record::new(other).encode()) == Offset(0);
        let done = publish.join().unwrap();
        if first && follows_nothing(&platform.log(Offset(1))[0].body) {
            assert_eq!(done.status, 1, "{}", done.out);
            let said = done.errors.contains("another publish was first");
            assert!(said, "{}", done.errors);
            return;
        }
    }
    panic!("no two publishes were concurrent in {MAX_ATTEMPTS} attempts");
}

#[test]
fn an_outage_is_an_error() {
    let (platform, url) = platform();
    platform.set_outage(true);
    let done = run(&["publish", &habimana(), "--platform", &url]);
    assert_eq!(done.status, 1);
    assert!(
        done.errors.contains("platform unavailable"),
        "{}",
        done.errors
    );
}

#[test]
fn a_key_is_issued_shown_once_and_withdrawn() {
    let (platform, url) = platform();
    succeed(&["publish", &habimana(), "--platform", &url]);
    let out = succeed(&["key", "issue", "habimana/weddings", "--platform", &url]);
    let word = |line: &str| line.split_whitespace().nth(1).unwrap().to_owned();
    let lines: Vec<_> = out.lines().collect();
    let (key, digest) = (word(lines[0]), word(lines[1]));
    assert_eq!(Key::from(key.as_str()).digest().to_string(), digest);
    let kept = platform.log(Offset(0));
    assert!(
        kept.iter().all(|record| !record.body.contains(&key)),
        "the log holds the key itself"
    );
    let again = succeed(&["publish", &habimana(), "--platform", &url]);
    assert!(
        again.contains("nothing differs"),
        "publishing the folder again removes the key: {again}"
    );
    let out = succeed(&["key", "withdraw", &digest, "--platform", &url]);
    assert!(
        out.contains("withdrawn for good from habimana/weddings"),
        "{out}"
    );
}

#[rstest]
#[case(&["key", "issue", "habimana/nobody"], 1, "unknown workspace \"habimana/nobody\"")]
#[case(&["key", "withdraw", "abc"], 2, "key digest has 3 characters")]
#[case(&["quarantine", "lift", "07"], 1, "unknown fingerprint")]
#[case(&["quarantine", "lift", "x"], 2, "fingerprint \"x\"")]
fn unknown_names_are_refused(
    #[case] arguments: &[&str],
    #[case] status: u8,
    #[case] expected: &str,
) {
    let (_platform, url) = platform();
    let done = run(&[arguments, &["--platform", &url]].concat());
    assert_eq!(done.status, status, "{}", done.errors);
    assert!(done.errors.contains(expected), "{}", done.errors);
}

#[test]
fn quarantine_is_listed_and_lifted() {
    let (platform, url) = platform();
    let body = RecordBody::QuarantineAdd {
        fingerprint: 0xabc,
        targets: vec!["engine-1".into(), "engine-2".into()],
    };
    platform.append(Record::new(body).encode());
    let out = succeed(&["quarantine", "list", "--platform", &url]);
    assert!(
        out.contains("0000000000000abc  crashed engine-1, engine-2"),
        "{out}"
    );
    succeed(&["quarantine", "lift", "abc", "--platform", &url]);
    let out = succeed(&["quarantine", "list", "--platform", &url]);
    assert!(out.contains("0 fingerprints"), "{out}");
}

#[test]
fn status_and_usage_show_what_is_in_force() {
    let (_platform, url) = platform();
    succeed(&["publish", &habimana(), "--platform", &url]);
    let out = succeed(&["status", "--platform", &url]);
    assert!(out.contains("published    at offset 0"), "{out}");
    assert!(out.contains("lease        orders: nobody"), "{out}");
    let out = succeed(&["usage", "--platform", &url]);
    assert!(out.contains("window"), "{out}");
}

struct Daemon;

impl OperatorApi for Daemon {
    fn readiness(&self) -> Readiness {
        Readiness::Ready
    }
    fn status(&self) -> Value {
        json!({ "host": "gasabo-1" })
    }
    fn page(&self, path: &str) -> Option<Value> {
        (path == "/explain/habimana/desk%231").then(|| json!({ "why": "rate" }))
    }
    fn act(&self, path: &str) -> Option<Value> {
        (path == "/drain").then(|| json!({ "draining": true }))
    }
}

#[test]
fn daemons_are_asked_over_their_operators_address() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let http =
        OperatorHttp::start(listener, Arc::new(Metrics::default()), Arc::new(Daemon)).unwrap();
    let address = http.address().to_string();
    let out = succeed(&["status", "--daemon", &address]);
    assert!(out.contains("gasabo-1"), "{out}");
    let out = succeed(&["explain", "habimana/desk#1", "--daemon", &address]);
    assert!(out.contains("\"why\": \"rate\""), "{out}");
    let out = succeed(&["drain", "--daemon", &address]);
    assert!(out.contains("\"draining\":true"), "{out}");
    let done = run(&["explain", "nothing", "--daemon", &address]);
    assert_eq!(done.status, 1);
    assert!(
        done.errors.contains("unknown subject \"nothing\""),
        "{}",
        done.errors
    );
}

#[rstest]
#[case(&["--help"], 0, "godwitspool COMMAND")]
#[case(&[], 0, "godwitspool COMMAND")]
#[case(&["--version"], 0, "godwitspool 0.")]
fn help_and_version(#[case] arguments: &[&str], #[case] status: u8, #[case] expected: &str) {
    let done = run(arguments);
    assert_eq!(done.status, status);
    assert!(done.out.contains(expected), "{}", done.out);
}

#[rstest]
#[case(&["publsh", "x"], "no command \"publsh x\"")]
#[case(&["publish", "x"], "--platform URL is missing")]
#[case(&["drain"], "--daemon IP:PORT is missing")]
#[case(&["status"], "--platform URL or --daemon IP:PORT is missing")]
#[case(&["status", "--daemon", "localhost:1"], "localhost:1")]
#[case(&["check", "x", "--frob"], "--frob")]
fn a_wrong_command_line_is_status_2(#[case] arguments: &[&str], #[case] expected: &str) {
    let done = run(arguments);
    assert_eq!(done.status, 2);
    assert!(done.errors.contains(expected), "{}", done.errors);
}

/// A platform's configuration without findings, of version 1.
const CONFIGURATION: &str = r#"{
  "version": 1,
  "routes": [
    {"name": "desk", "host": "a.example", "path_prefix": "/", "kind": "idempotent",
     "service": "plain", "goal_ms": 150, "timeout_ms": 2000}
  ],
  "services": [{"name": "plain"}],
  "tenants": [{"name": "w", "api_keys": ["secret"]}]
}"#;

/// Guards against a check of the platform's configuration that scripts can't tell from a failure, and
/// against findings without a place or what to do.
#[test]
fn a_platform_configuration_is_checked_against_the_one_in_force() {
    let new = CONFIGURATION
        .replace("2000", "100")
        .replace("secret", "other");
    let files = [("old.json", CONFIGURATION), ("new.json", new.as_str())];
    let path = folder("platform-configuration", &files);
    let old = path.join("old.json").display().to_string();
    let new = path.join("new.json").display().to_string();

    assert_eq!(succeed(&["check", &old]), "no findings\n");

    let done = run(&["check", &new, "--against", &old]);
    assert_eq!(done.status, 2, "{}{}", done.out, done.errors);
    assert!(
        done.out.contains("~ routes.desk.timeout_ms: 2000 -> 100\n"),
        "{}",
        done.out
    );
    assert!(done.out.contains("- tenants.w.api_keys."), "{}", done.out);
    assert!(!done.out.contains("secret"), "{}", done.out);
    let finding = format!(
        "{new}:5:56: the timeout of route desk, 100 ms, is below its goal of 150 ms; raise the \
         timeout or lower the goal\n"
    );
    assert!(done.errors.contains(&finding), "{}", done.errors);
    assert!(done.errors.contains("raise the version"), "{}", done.errors);

    let done = run(&["check", &new, "--against", &old, "--format", "json"]);
    assert_eq!(done.status, 2);
    let report: Value = serde_json::from_str(&done.out).unwrap();
    assert_eq!(report["findings"].as_array().unwrap().len(), 2, "{report}");
    let finding = &report["findings"][1];
    assert_eq!(finding["line"], 5);
    assert_eq!(finding["column"], 56);
    assert_eq!(finding["action"], "raise the timeout or lower the goal");
    assert_eq!(report["differences"][0]["path"], "routes.desk.timeout_ms");

    let done = run(&["check", &old, "--against", &old]);
    assert_eq!(
        (done.out.as_str(), done.status),
        ("0 fields differ\nno findings\n", 0)
    );

    let missing = path.join("missing.json").display().to_string();
    assert_eq!(run(&["check", &missing]).status, 1);
}

/// Guards against entries of a folder that never take effect passing the check, and against such a
/// folder, which may be in use, no longer being published.
#[test]
fn unused_entries_of_a_folder_are_findings_of_the_check_only() {
    let old = "services:\n  a: {kind: plain}\nworkspaces:\n  v: {services: {a: a}}\n";
    let digest = "a".repeat(64);
    let keys = format!("keys: [{{digest: {digest}}}]");
    let new = format!(
        "services:\n  a: {{kind: plain}}\n  b: {{kind: plain}}\nworkspaces:\n  \
         v: {{services: {{a: a}}, rate: 9/s, {keys}}}\n  w: {{{keys}}}\n  \
         x: {{keys: [{{digest: {digest}, withdrawn: true}}]}}\n"
    );
    let old = folder("in-force", &[("10.yaml", old)])
        .display()
        .to_string();
    let new = folder("unused", &[("10.yaml", &new)]).display().to_string();

    let done = run(&["check", &new, "--against", &old]);
    assert_eq!(done.status, 2, "{}{}", done.out, done.errors);
    assert!(
        done.out.contains("~ workspaces.v.rate_per_s: 200 -> 9\n"),
        "{}",
        done.out
    );
    let places: Vec<_> = done.errors.lines().map(|line| &line[..11]).collect();
    assert_eq!(places, ["10.yaml:3:3", "10.yaml:6:3"], "{}", done.errors);
    assert!(
        done.errors.contains("names the service b;"),
        "{}",
        done.errors
    );
    assert!(
        done.errors.contains("belongs to v and to w;"),
        "{}",
        done.errors
    );

    let done = run(&["check", &new, "--format", "json"]);
    assert_eq!(done.status, 2);
    let report: Value = serde_json::from_str(&done.out).unwrap();
    assert_eq!(report["findings"][0]["line"], 3, "{report}");

    let missing = format!("{old}-missing");
    let done = run(&["check", &new, "--against", &missing, "--format", "json"]);
    let report: Value = serde_json::from_str(&done.out).unwrap();
    assert_eq!(report["findings"][0]["file"], missing, "{report}");

    let (_platform, url) = platform();
    let out = succeed(&["publish", &new, "--platform", &url]);
    assert!(out.contains("in force"), "{out}");
}

/// Guards against a difference that leaves out a change of one of several items with the same name.
#[test]
fn items_of_the_same_name_are_compared_each() {
    let old = r#"{"version": 1, "services": [{"name": "s"}], "routes": [
        {"name": "r", "host": "a", "path_prefix": "/a/", "kind": "idempotent", "service": "s"},
        {"name": "r", "host": "a", "path_prefix": "/b/", "kind": "idempotent", "service": "s"}]}"#;
    let new = old.replace("/a/", "/c/").replace("1,", "2,");
    let path = folder("same-names", &[("old.json", old), ("new.json", &new)]);
    let old = path.join("old.json").display().to_string();
    let new = path.join("new.json").display().to_string();
    assert_eq!(
        succeed(&["check", &new, "--against", &old]),
        "~ routes.r.path_prefix: /a/ -> /c/\n~ version: 1 -> 2\n2 fields differ\nno findings\n"
    );
}
