//! API keys, open routes and the withdrawal of keys.

use godwitspool_request::{Caller, KeyTable, Reason};
use godwitspool_types::{Key, Millis, RequestId, ServiceName, Workspace};
use godwitspool_version::{
    Configuration, KeyRule, ServiceRef, ServiceRules, UnconfirmedKeys, WorkspaceRules,
};
use proptest::prelude::*;
use rstest::rstest;

fn workspace(keys: &[(&str, bool)], unconfirmed_keys: UnconfirmedKeys) -> WorkspaceRules {
    let rule = |&(key, withdrawn): &(&str, bool)| KeyRule {
        digest: Key::from(key).digest(),
        withdrawn,
    };
    let lookup = ServiceRef {
        service: ServiceName::from("habimana/lookup"),
    };
    WorkspaceRules {
        keys: keys.iter().map(rule).collect(),
        services: [(ServiceName::from("lookup"), lookup)].into(),
        unconfirmed_keys,
        ..WorkspaceRules::default()
    }
}

fn configuration() -> Configuration {
    let names = ["habimana/lookup", "habimana/open"].map(ServiceName::from);
    Configuration {
        open_routes: [ServiceName::from("habimana/open")].into(),
        services: names.map(|name| (name, ServiceRules::default())).into(),
        workspaces: [
            (
                Workspace::from("banks"),
                workspace(&[("good", false), ("old", true)], UnconfirmedKeys::Serve),
            ),
            (
                Workspace::from("weddings"),
                workspace(&[("strict", false)], UnconfirmedKeys::RefuseAfterS(30)),
            ),
        ]
        .into(),
        ..Configuration::default()
    }
}

fn check(key: Option<&str>, service: &str, age: u64) -> Result<Caller, Reason> {
    let digest = key.map(|key| Key::from(key).digest());
    KeyTable::from(&configuration()).check(digest.as_ref(), &service.into(), Millis(age))
}

#[rstest]
#[case(Some("good"), "lookup", 0, "banks")]
#[case(Some("good"), "lookup", 1_000_000, "banks")]
#[case(Some("strict"), "lookup", 30_000, "weddings")]
#[case(None, "habimana/open", 1_000_000, "")]
fn callers_are_found(
    #[case] key: Option<&str>,
    #[case] service: &str,
    #[case] age: u64,
    #[case] workspace: &str,
) {
    assert_eq!(
        check(key, service, age).unwrap().workspace.as_str(),
        workspace
    );
}

#[rstest]
#[case(None, "lookup", 0, Reason::KeyMissing)]
#[case(None, "habimana/lookup", 0, Reason::KeyMissing)]
#[case(Some("guess"), "lookup", 0, Reason::KeyUnknown)]
#[case(Some("guess"), "habimana/open", 0, Reason::KeyUnknown)]
#[case(Some("old"), "lookup", 0, Reason::KeyWithdrawn)]
#[case(Some("good"), "other", 0, Reason::ServiceUnknown)]
#[case(Some("good"), "habimana/lookup", 0, Reason::ServiceUnknown)]
#[case(Some("strict"), "lookup", 30_001, Reason::KeysUnconfirmed)]
fn callers_are_refused(
    #[case] key: Option<&str>,
    #[case] service: &str,
    #[case] age: u64,
    #[case] reason: Reason,
) {
    assert_eq!(check(key, service, age), Err(reason));
}

#[test]
fn a_workspace_resolves_its_own_name_of_a_service() {
    let caller = check(Some("good"), "lookup", 0).unwrap();
    assert_eq!(caller.service.as_str(), "habimana/lookup");
}

#[test]
fn withdrawal_cuts_only_the_open_requests_of_that_key() {
    let mut after = configuration();
    let rules = after.workspaces.get_mut("banks").unwrap();
    rules.keys[0].withdrawn = true;
    let open = [
        (RequestId(1), Key::from("good").digest()),
        (RequestId(2), Key::from("strict").digest()),
    ];
    let before = KeyTable::from(&configuration());
    assert_eq!(before.unauthorized(&open, Millis::ZERO), []);
    assert_eq!(
        KeyTable::from(&after).unauthorized(&open, Millis::ZERO),
        [RequestId(1)]
    );
    assert_eq!(before.unauthorized(&open, Millis(30_001)), [RequestId(2)]);
}

#[test]
fn a_digest_listed_again_stays_withdrawn() {
    let mut twice = configuration();
    let key = Key::from("old").digest();
    for name in ["weddings", "banks"] {
        let rules = twice.workspaces.get_mut(name).unwrap();
        rules.keys.push(KeyRule {
            digest: key,
            withdrawn: false,
        });
    }
    let found = KeyTable::from(&twice).check(Some(&key), &"lookup".into(), Millis::ZERO);
    assert_eq!(found, Err(Reason::KeyWithdrawn));
}

proptest! {
    #[test]
    fn no_key_that_was_not_issued_is_accepted(key in ".*") {
        prop_assume!(!["good", "strict"].contains(&key.as_str()));
        prop_assert!(check(Some(&key), "lookup", 0).is_err());
    }
}
