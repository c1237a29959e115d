//! The operators' folder: joining files, names of parties, and findings with their places.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use godwitspool_process::{
    Findings,
    folder::{Folder, Source, join, load},
};
use godwitspool_types::Key;
use godwitspool_version::{ServiceKind, UnconfirmedKeys};
use proptest::prelude::*;
use rstest::rstest;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

const FLEET: &str = "dcs: {nyarugenge: {orders: 20/min}}\nweights: {m: v1}\n";
const STUDIO: &str = "\
party: studio
services:
  desk: {kind: plain}
  model: {kind: engine, model: m}
classes:
  reserved: {service: model, cost: 2.40/h, start: 20s}
dcs:
  main: {same_as: nyarugenge, floor: {reserved: 1}, ceiling: {reserved: 2}}
workspaces:
  weddings: {rate: 40/s, services: {lookup: desk}}
trainers:
  motif: {service: model, workspace: weddings}
";

fn files(texts: &[&str]) -> Vec<Source> {
    let named = texts.iter().enumerate();
    named
        .map(|(n, text)| Source::new(format!("{n}.yaml"), *text))
        .collect()
}

fn join_texts(texts: &[&str]) -> Result<Folder, Findings> {
    join(files(texts))
}

#[rstest]
#[case("habimana", 3, 8, 3)]
#[case("mtkvari", 4, 8, 3)]
fn the_examples_have_no_findings(
    #[case] name: &str,
    #[case] dcs: usize,
    #[case] workspaces: usize,
    #[case] trainers: usize,
) {
    let folder = load(format!("{EXAMPLES}/{name}")).unwrap_or_else(|findings| panic!("{findings}"));
    assert_eq!(folder.configuration.dcs.len(), dcs);
    assert_eq!(folder.configuration.workspaces.len(), workspaces);
    assert_eq!(folder.configuration.trainers.len(), trainers);
    assert_eq!(folder.overrides.len(), 2, "{:?}", folder.overrides);
    for (workspace, rules) in &folder.configuration.workspaces {
        let key = format!("gsk-example-{}", workspace.as_str().replace('/', "-"));
        let digest = Key::from(key.as_str()).digest();
        assert!(
            rules
                .keys
                .iter()
                .any(|key| key.digest == digest && !key.withdrawn)
        );
    }
}

#[test]
fn equal_names_of_two_parties_stay_separate() {
    let other = STUDIO
        .replace("party: studio", "party: shop")
        .replace("motif:", "border:");
    let configuration = join_texts(&[FLEET, STUDIO, &other]).unwrap().configuration;
    for party in ["studio", "shop"] {
        let workspace = &configuration.workspaces[format!("{party}/weddings").as_str()];
        assert_eq!(
            workspace.services["lookup"].service.as_str(),
            format!("{party}/desk")
        );
        let class = &configuration.classes[format!("{party}/reserved").as_str()];
        assert_eq!(class.service.as_str(), format!("{party}/model"));
        assert_eq!(class.cost_per_hour, 2_400);
    }
    let dc = &configuration.dcs["nyarugenge"];
    assert_eq!(configuration.dcs.len(), 1);
    assert_eq!(dc.floor.len(), 2);
    assert_eq!(dc.orders_per_minute, 20);
    assert_eq!(
        configuration.services["shop/model"].kind,
        ServiceKind::Engine
    );
}

#[test]
fn a_partys_own_name_takes_precedence_over_a_shared_one() {
    let shared = "services: {desk: {kind: plain, slots: 3}}";
    let configuration = join_texts(&[FLEET, STUDIO, shared]).unwrap().configuration;
    let workspace = &configuration.workspaces["studio/weddings"];
    assert_eq!(workspace.services["lookup"].service.as_str(), "studio/desk");
}

#[test]
fn the_later_file_wins_and_the_override_names_both_places() {
    let season = "party: studio\nworkspaces: {weddings: {rate: 90/s, concurrency: 64}}";
    let folder = join_texts(&[FLEET, STUDIO, season]).unwrap();
    assert_eq!(
        folder.configuration.workspaces["studio/weddings"].rate_per_s,
        90
    );
    let lines: Vec<_> = folder.overrides.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        ["workspaces.studio/weddings.rate: 2.yaml:2:31 wins over 1.yaml:10:20"]
    );
}

#[test]
fn files_are_merged_in_the_order_of_their_names() {
    let mut sources = files(&[
        FLEET,
        STUDIO,
        "party: studio\nworkspaces: {weddings: {rate: 9/s}}",
    ]);
    sources.reverse();
    let configuration = join(sources).unwrap().configuration;
    assert_eq!(configuration.workspaces["studio/weddings"].rate_per_s, 9);
}

#[test]
fn a_withdrawn_key_stays_withdrawn_whatever_a_later_file_says() {
    let digest = Key::from("k").digest();
    let withdrawn = format!(
        "workspaces: {{studio/weddings: {{keys: [{{digest: {digest}, withdrawn: true}}]}}}}"
    );
    let issued = format!("workspaces: {{studio/weddings: {{keys: [{{digest: {digest}}}]}}}}");
    let configuration = join_texts(&[FLEET, STUDIO, &withdrawn, &issued])
        .unwrap()
        .configuration;
    let keys = &configuration.workspaces["studio/weddings"].keys;
    assert_eq!(keys.len(), 1);
    assert!(keys[0].withdrawn);
}

#[test]
fn unconfirmed_keys_are_read_with_their_unit() {
    let text = "workspaces: {studio/weddings: {unconfirmed_keys: refuse after 2min}}";
    let configuration = join_texts(&[FLEET, STUDIO, text]).unwrap().configuration;
    let rules = &configuration.workspaces["studio/weddings"];
    assert_eq!(rules.unconfirmed_keys, UnconfirmedKeys::RefuseAfterS(120));
}

#[rstest]
#[case::section(
    "workspace: {}",
    "2.yaml:1:1: unknown key workspace, expected one of: classes, dcs, "
)]
#[case::field(
    "workspaces: {studio/weddings: {rte: 1/s}}",
    "2.yaml:1:32: unknown key rte"
)]
#[case::type_of_rate(
    "workspaces: {studio/weddings: {rate: [1]}}",
    "2.yaml:1:38: rate is a list, expected a rate, such as 40/s"
)]
#[case::unit_of_rate(
    "workspaces: {studio/weddings: {rate: 40/min}}",
    "2.yaml:1:38: rate is \"40/min\", expected a rate, such as 40/s"
)]
#[case::unit_of_cost(
    "classes: {studio/reserved: {cost: 2.40}}",
    "2.yaml:1:35: cost is 2.4, expected a cost an hour, such as 2.40/h"
)]
#[case::unit_of_time(
    "services: {studio/desk: {deadline: 10}}",
    "2.yaml:1:36: deadline is 10, expected a duration with its unit"
)]
#[case::workspace(
    "workspaces: {studio/wedings: {rate: 1/s}}",
    "2.yaml:1:14: workspaces studio/wedings refers to nothing"
)]
#[case::service(
    "workspaces: {studio/weddings: {services: {a: dsk}}}",
    "2.yaml:1:46: dsk refers to nothing in services"
)]
#[case::class(
    "dcs: {nyarugenge: {ceiling: {spare: 1}}}",
    "2.yaml:1:30: class spare refers to nothing"
)]
#[case::route(
    "open_routes: [studio/dsk]",
    "2.yaml:1:15: studio/dsk refers to nothing in services"
)]
#[case::alias(
    "party: shop\ndcs: {main: {same_as: nowhere}}",
    "2.yaml:2:7: dcs main refers to nothing"
)]
#[case::foreign(
    "party: shop\nworkspaces: {studio/weddings: {share: 9}}",
    "2.yaml:2:14: workspaces studio/weddings belongs to party studio, this file to shop"
)]
#[case::trainer(
    "party: shop\ntrainers: {motif: {share: 9}}",
    "2.yaml:2:12: trainer motif belongs to another party at 1.yaml:12:3"
)]
#[case::twice(
    "party: shop\nservices: {a: {kind: plain}, a: {kind: plain}}",
    "2.yaml:2:30: a appears twice, first in line 2"
)]
#[case::floor(
    "dcs: {nyarugenge: {floor: {studio/reserved: 3}}}",
    "2.yaml:1:7: floor of studio/reserved in nyarugenge is 3, above its ceiling of 2"
)]
#[case::no_model(
    "party: shop\nservices: {a: {kind: engine}}",
    "2.yaml:2:12: engine service shop/a has no model"
)]
#[case::no_weights(
    "party: shop\nservices: {a: {kind: engine, model: n}}",
    "2.yaml:2:12: model n of shop/a has no weights version"
)]
#[case::digest(
    "workspaces: {studio/weddings: {keys: [{digest: abc}]}}",
    "2.yaml:1:48: digest is \"abc\", expected 64 hexadecimal digits"
)]
#[case::name(
    "party: shop\nservices: {\"a b\": {kind: plain}}",
    "2.yaml:2:12: services has the name \"a b\", expected a name"
)]
#[case::no_yaml("dcs: [", "2.yaml:")]
fn one_mistake_is_one_finding_with_its_place(#[case] text: &str, #[case] expected: &str) {
    let findings = join_texts(&[FLEET, STUDIO, text]).unwrap_err();
    assert_eq!(findings.len(), 1, "{findings}");
    assert!(findings.to_string().starts_with(expected), "{findings}");
}

#[test]
fn findings_of_all_files_are_returned_in_order() {
    let one = "party: one\nservices: {a: {kind: bare}}\n";
    let two = "party: two\nworkspaces: {w: {rate: 3, services: {a: b}}}\nmore: 1\n";
    let findings = join_texts(&[FLEET, STUDIO, one, two]).unwrap_err();
    let places: Vec<_> = findings.iter().map(|f| f.place.to_string()).collect();
    assert_eq!(
        places,
        ["2.yaml:2:22", "3.yaml:2:24", "3.yaml:2:41", "3.yaml:3:1"]
    );
}

#[test]
fn a_replaced_value_is_checked_too() {
    let wrong = "party: studio\nworkspaces: {weddings: {rate: fast}}";
    let right = "party: studio\nworkspaces: {weddings: {rate: 9/s}}";
    let findings = join_texts(&[FLEET, STUDIO, wrong, right]).unwrap_err();
    assert_eq!(findings.len(), 1, "{findings}");
}

#[test]
fn an_empty_folder_is_a_finding() {
    let findings = load(concat!(env!("CARGO_MANIFEST_DIR"), "/src")).unwrap_err();
    assert!(findings.to_string().contains("no .yaml file"), "{findings}");
}

/// Values of workspaces over several files: (workspace, field, value).
fn settings() -> impl Strategy<Value = Vec<Vec<(u8, u8, u32)>>> {
    let setting = (0..3u8, 0..3u8, 1..50u32);
    proptest::collection::vec(proptest::collection::vec(setting, 0..6), 1..6)
}

fn text_of(settings: &[(u8, u8, u32)]) -> String {
    let workspaces: Vec<_> = (0..3)
        .map(|w| format!("  w{w}: {{{}}}", fields_of(settings, w)))
        .collect();
    format!("party: p\nworkspaces:\n{}\n", workspaces.join("\n"))
}

fn fields_of(settings: &[(u8, u8, u32)], workspace: u8) -> String {
    let own = settings.iter().filter(|setting| setting.0 == workspace);
    let last: BTreeMap<_, _> = own.map(|(_, field, value)| (*field, *value)).collect();
    let field = |(field, value): (u8, u32)| match field {
        0 => format!("share: {value}"),
        1 => format!("concurrency: {value}"),
        _ => format!("rate: {value}/s"),
    };
    last.into_iter().map(field).collect::<Vec<_>>().join(", ")
}

proptest! {
    #[test]
    fn each_field_has_the_value_of_the_last_file_that_sets_it(settings in settings()) {
        let texts: Vec<_> = settings.iter().map(|s| text_of(s)).collect();
        let texts: Vec<_> = texts.iter().map(String::as_str).collect();
        let folder = join_texts(&texts).unwrap();
        let mut expected = [[1, 64, 200]; 3];
        let mut set = [[false; 3]; 3];
        let mut replaced = 0;
        for file in &settings {
            let last: BTreeMap<_, _> =
                file.iter().map(|(w, f, v)| ((*w as usize, *f as usize), *v)).collect();
            for ((w, f), value) in last {
                replaced += usize::from(set[w][f] && expected[w][f] != value);
                set[w][f] = true;
                expected[w][f] = value;
            }
        }
        for (w, [share, concurrency, rate]) in expected.into_iter().enumerate() {
            let rules = &folder.configuration.workspaces[format!("p/w{w}").as_str()];
            prop_assert_eq!([rules.share, rules.concurrency, rules.rate_per_s], [share, concurrency, rate]);
        }
        prop_assert_eq!(folder.overrides.len(), replaced);
        prop_assert!(folder.overrides.iter().all(|o| o.winner.file > o.loser.file));
    }

    #[test]
    fn a_damaged_folder_never_panics(at in 0..STUDIO.len(), byte in 32u8..127) {
        let mut text = STUDIO.as_bytes().to_vec();
        text[at] = byte;
        drop(join_texts(&[FLEET, std::str::from_utf8(&text).unwrap()]));
    }
}
