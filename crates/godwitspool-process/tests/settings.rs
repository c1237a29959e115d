//! Settings files: parsed values, and findings with their places.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use godwitspool_process::{EntrySettings, LogFormat, StewardSettings};
use godwitspool_types::Millis;
use proptest::prelude::*;
use rstest::rstest;

const ENTRY: &str = "\
host: nyarugenge-1
dc: nyarugenge
callers: 127.0.0.1:8080
operators: 127.0.0.1:8081
peers: 127.0.0.1:8082
steward: 127.0.0.1:8090
log: json
drain: 2min
";

const STEWARD: &str = "\
host: nyarugenge-1
dc: nyarugenge
steward: 127.0.0.1:8090
operators: 127.0.0.1:8091
entry: 127.0.0.1:8082
platform: http://127.0.0.1:9000/
peers:
  - {host: kicukiro-1, dc: kicukiro, entry: 127.0.0.2:8082, steward: 127.0.0.2:8090}
";

#[test]
fn complete_files_are_read() {
    let entry = EntrySettings::parse("e.yaml", ENTRY).unwrap();
    assert_eq!(entry.log, LogFormat::Json);
    assert_eq!(entry.drain, Millis(120_000));
    assert_eq!(entry.callers.port(), 8080);
    let steward = StewardSettings::parse("s.yaml", STEWARD).unwrap();
    assert_eq!(steward.platform, "http://127.0.0.1:9000");
    assert_eq!(steward.peers[0].host.as_str(), "kicukiro-1");
    assert_eq!(steward.term, StewardSettings::default().term);
}

#[rstest]
#[case::unknown_key(
    "drian: 3s",
    "e.yaml:9:1: unknown key drian, expected one of: host, dc, "
)]
#[case::no_unit(
    "body_bytes: 3s",
    "e.yaml:9:13: body_bytes is \"3s\", expected a whole number"
)]
#[case::twice("dc: kicukiro", "e.yaml:9:1: dc appears twice, first in line 2")]
fn a_wrong_additional_line_is_a_finding_with_its_place(#[case] line: &str, #[case] expected: &str) {
    let findings = EntrySettings::parse("e.yaml", &format!("{ENTRY}{line}\n")).unwrap_err();
    assert_eq!(findings.len(), 1, "{findings}");
    assert!(findings.to_string().starts_with(expected), "{findings}");
}

#[rstest]
#[case::name_for_address(
    "callers: 127.0.0.1:8080",
    "callers: localhost:8080",
    "3:10: callers is \"localhost:8080\", expected an IP number"
)]
#[case::no_unit(
    "drain: 2min",
    "drain: 120",
    "8:8: drain is 120, expected a duration with its unit"
)]
#[case::wrong_unit("drain: 2min", "drain: 2kg", "8:8: drain is \"2kg\"")]
#[case::closed_set(
    "log: json",
    "log: xml",
    "7:6: log is \"xml\", expected key-value or json"
)]
#[case::missing("dc: nyarugenge\n", "", "1:1: dc is missing")]
#[case::list("dc: nyarugenge", "dc: [a]", "2:5: dc is a list, expected a name")]
fn a_wrong_line_is_a_finding_with_its_place(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] expected: &str,
) {
    let findings = EntrySettings::parse("e.yaml", &ENTRY.replace(good, bad)).unwrap_err();
    assert_eq!(findings.len(), 1, "{findings}");
    assert!(findings.to_string().contains(expected), "{findings}");
}

#[test]
fn all_findings_are_returned_in_order() {
    let text = "host: a b\ncallers: 1\nextra: 1\n";
    let findings = EntrySettings::parse("e.yaml", text).unwrap_err();
    let lines: Vec<_> = findings.iter().map(|finding| finding.place.line).collect();
    assert_eq!(findings.len(), 7, "{findings}");
    assert!(lines.is_sorted());
}

#[test]
fn a_duplicate_peer_is_a_finding() {
    let again = "  - {host: kicukiro-1, dc: gasabo, entry: 127.0.0.3:1, steward: 127.0.0.3:2}\n";
    let findings = StewardSettings::parse("s.yaml", &format!("{STEWARD}{again}")).unwrap_err();
    assert!(
        findings
            .to_string()
            .contains("s.yaml:9:5: host kicukiro-1 is listed twice"),
        "{findings}"
    );
}

#[test]
fn a_term_out_of_bounds_is_a_finding() {
    let findings = StewardSettings::parse("s.yaml", &format!("{STEWARD}term: 1ms\n")).unwrap_err();
    assert!(
        findings
            .to_string()
            .contains("term is 1 ms, expected 200 ms to 60000 ms"),
        "{findings}"
    );
}

#[test]
fn a_missing_file_is_a_finding() {
    let findings = EntrySettings::load("no/such/file.yaml").unwrap_err();
    assert!(
        findings
            .to_string()
            .starts_with("no/such/file.yaml:1:1: can't be read"),
        "{findings}"
    );
}

#[rstest]
#[case::open_bracket("host: [")]
#[case::tab("\thost: x")]
#[case::alias("host: *nobody")]
#[case::binary("\u{0}\u{1}")]
#[case::merge_key("a: &a {b: 1}\n<<: *a\n")]
#[case::deep(&"[".repeat(100_000))]
#[case::expansion(
    "a: &a [x,x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a,*a,*a,*a,*a,*a]\nc: &c [*b,*b,*b,*b,*b,*b,*b,*b,*b]\nd: &d [*c,*c,*c,*c,*c,*c,*c,*c,*c]\ne: &e [*d,*d,*d,*d,*d,*d,*d,*d,*d]\nf: [*e,*e,*e,*e,*e,*e,*e,*e,*e]\n"
)]
fn hostile_text_is_a_finding(#[case] text: &str) {
    let findings = EntrySettings::parse("e.yaml", text).unwrap_err();
    assert!(findings.to_string().starts_with("e.yaml:"), "{findings}");
}

proptest! {
    #[test]
    fn no_text_panics(text in ".{0,200}") {
        drop(EntrySettings::parse("e.yaml", &text));
        drop(StewardSettings::parse("s.yaml", &text));
    }

    #[test]
    fn a_damaged_file_never_panics(at in 0..ENTRY.len(), byte in 32u8..127) {
        let mut text = ENTRY.as_bytes().to_vec();
        text[at] = byte;
        drop(EntrySettings::parse("e.yaml", std::str::from_utf8(&text).unwrap()));
    }
}
