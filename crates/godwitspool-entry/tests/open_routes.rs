//! Open routes answer without a key, under their qualified names; no other service does.

mod cluster;

use cluster::{Cluster, agent};
use rstest::rstest;

fn status(cluster: &Cluster, path: &str) -> u16 {
    let url = format!("http://{}/services/{path}", cluster.entries[0].address());
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
    let cluster = Cluster::start(1, 0, 1, 2);
    assert_eq!(status(&cluster, path), 401);
    cluster.configure(|configuration| {
        configuration.open_routes.insert("party/orders".into());
    });
    assert_eq!(status(&cluster, path), 200);
    assert_eq!(cluster.plains[0].history().len(), 1);
}

#[test]
fn a_longer_name_is_not_the_open_route() {
    let cluster = Cluster::start(1, 0, 1, 2);
    cluster.configure(|configuration| {
        configuration.open_routes.insert("party/orders".into());
    });
    assert_eq!(status(&cluster, "party/orders-of-others/list"), 401);
    assert_eq!(status(&cluster, "orders/list"), 401);
    assert!(cluster.plains[0].history().is_empty());
}
