//! Open routes answer without a key, under their qualified names; no other service does.

mod bench;

use bench::{Bench, agent};
use rstest::rstest;

fn status(bench: &Bench, path: &str) -> u16 {
    let url = format!("http://{}/services/{path}", bench.entries[0].address());
    agent()
        .get(url)
        .call()
        .map_or(0, |response| response.status().as_u16())
}

#[rstest]
#[case::path("party/orders/list")]
#[case::query("party/orders?page=2")]
#[case::bare("party/orders")]
fn open_route_is_called_by_its_qualified_name(#[case] path: &str) {
    let bench = Bench::start(1, 0, 1, 2);
    assert_eq!(status(&bench, path), 401);
    bench.configure(|configuration| {
        configuration.open_routes.insert("party/orders".into());
    });
    assert_eq!(status(&bench, path), 200);
    assert_eq!(bench.plains[0].history().len(), 1);
}

#[test]
fn a_longer_name_is_not_the_open_route() {
    let bench = Bench::start(1, 0, 1, 2);
    bench.configure(|configuration| {
        configuration.open_routes.insert("party/orders".into());
    });
    assert_eq!(status(&bench, "party/orders-of-others/list"), 401);
    assert_eq!(status(&bench, "orders/list"), 401);
    assert!(bench.plains[0].history().is_empty());
}
