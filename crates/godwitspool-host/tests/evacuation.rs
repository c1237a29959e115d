//! Evacuated data centres: no choice of a target leads there.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::HashMap;

use godwitspool_host::version::{Basis, Fleet, Freshness, PlaceRequest, TargetEntry, Work};
use godwitspool_types::{Dc, Millis, ModelName, ServiceName, TargetName};

fn entry(name: &str, dc: &str) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(name),
        service: ServiceName::from("s"),
        address: ([127, 0, 0, 1], 80).into(),
        dc: Dc::from(dc),
        slots: 2,
        draining: false,
        models: HashMap::from([(ModelName::from("m"), 1)]),
        born: 10,
        cold_left: Millis::ZERO,
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.apply(entry("a", "north"));
    fleet.apply(entry("b", "south"));
    fleet
}

/// Returns the targets that any of the choices leads to.
fn reached(fleet: &Fleet) -> Vec<String> {
    let (service, model) = (ServiceName::from("s"), ModelName::from("m"));
    let (dc, now) = (Dc::from("north"), Millis(0));
    let assigned = HashMap::new();
    let placed = fleet.place(&PlaceRequest {
        assigned: &assigned,
        dc: &dc,
        excluded: None,
        host: 1,
        model: &model,
        now,
        service: &service,
        versions: &(1..=1),
        work: Work::default(),
    });
    let mut names: Vec<TargetName> = placed.map(|place| place.target).into_iter().collect();
    let targets = fleet.choose(&service, &dc, &[], now).into_iter();
    let targets = targets
        .chain(fleet.place_call(&service, &dc, now))
        .chain(fleet.usable(&service));
    names.extend(targets.map(|target| target.entry.name.clone()));
    let models = fleet.assign_models(&service, &[model]);
    names.extend(models.into_keys());
    names.sort();
    names.dedup();
    names.iter().map(ToString::to_string).collect()
}

/// One filter serves requests, items, reward calls, orders to load and the assignment of models.
#[test]
fn no_choice_leads_to_an_evacuated_data_centre() {
    let mut fleet = fleet();
    assert_eq!(reached(&fleet), ["a", "b"]);
    fleet.set_evacuated(&Dc::from("north"), true, Millis(0));
    assert_eq!(reached(&fleet), ["b"]);
    fleet.set_evacuated(&Dc::from("south"), true, Millis(0));
    assert!(reached(&fleet).is_empty());
    fleet.set_evacuated(&Dc::from("north"), false, Millis(0));
    assert_eq!(reached(&fleet), ["a"]);
}

/// Guards against a request whose target is evacuated between its choice and its start.
#[test]
fn a_chosen_target_gets_no_request_once_it_is_evacuated() {
    let mut fleet = fleet();
    let name = TargetName::from("a");
    fleet.observe_limit(&name, Some(5.0), Millis(0));
    fleet
        .limited(&name, Millis(0))
        .unwrap()
        .add_permit(Millis(0));
    fleet.set_evacuated(&Dc::from("north"), true, Millis(0));
    assert!(fleet.is_evacuated(&name));
    assert!(!fleet.take_permit(&name, Millis(0)));
    assert_eq!(
        fleet.permit_need(&name, Millis(0)),
        None,
        "none is asked for"
    );
    assert!(!fleet.is_evacuated(&TargetName::from("b")));
}

/// A target that registers in a data centre that is evacuated already.
#[test]
fn a_later_entry_in_an_evacuated_data_centre_is_not_used() {
    let mut fleet = fleet();
    let (news, targets) = fleet.set_evacuated(&Dc::from("west"), true, Millis(0));
    assert_eq!((news, targets), (true, 0));
    fleet.apply(entry("c", "west"));
    assert_eq!(reached(&fleet), ["a", "b"]);
}

/// Operators are told once what an evacuation costs, and when it is over.
#[test]
fn services_without_a_target_left_are_reported_once() {
    let mut fleet = fleet();
    let service = ServiceName::from("s");
    assert_eq!(fleet.update_unserved(), (vec![], vec![]));
    fleet.set_evacuated(&Dc::from("north"), true, Millis(0));
    assert_eq!(fleet.update_unserved(), (vec![], vec![]));
    fleet.set_evacuated(&Dc::from("south"), true, Millis(0));
    assert_eq!(fleet.update_unserved(), (vec![service.clone()], vec![]));
    assert!(fleet.is_service_evacuated(&service));
    assert_eq!(fleet.update_unserved(), (vec![], vec![]));
    fleet.set_evacuated(&Dc::from("south"), false, Millis(0));
    assert_eq!(fleet.update_unserved(), (vec![], vec![service]));
}

/// Reads of the operators' records hang, or the host was suspended, while a data centre is evacuated.
#[test]
fn no_target_is_chosen_by_operators_records_that_may_be_too_old() {
    let mut fleet = fleet();
    fleet.operator_freshness = Freshness::new(Millis(4_500));
    fleet.operator_freshness.confirm(Millis(100));
    fleet.operator_freshness.advance(Millis(4_600), None);
    assert_eq!(fleet.basis(), Basis::Current);
    assert!(!reached(&fleet).is_empty());
    fleet.operator_freshness.advance(Millis(4_601), None);
    assert_eq!(fleet.basis(), Basis::Stale);
    let service = ServiceName::from("s");
    let dc = Dc::from("north");
    assert!(fleet.choose(&service, &dc, &[], Millis(0)).is_none());
    assert!(fleet.place_call(&service, &dc, Millis(0)).is_none());
    // A read has failed meanwhile: the host keeps what it last knew.
    fleet
        .operator_freshness
        .advance(Millis(5_000), Some(Millis(4_000)));
    assert!(fleet.choose(&service, &dc, &[], Millis(0)).is_some());
}
