//! The platform never receives a complete order when the check before its last byte fails.

use std::{cell::Cell, io::Read, net::TcpListener, thread};

use godwitspool_connection::{
    http::{Platform, PlatformApi, PlatformError},
    platform::{OrderAction, TargetOrder},
};
use godwitspool_types::{Ran, Term};

#[test]
fn a_withheld_order_lacks_its_last_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let platform = Platform::new(format!("http://{}", listener.local_addr().unwrap()));
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut received = Vec::new();
        // A reset connection counts as a closed one.
        drop(stream.read_to_end(&mut received));
        String::from_utf8_lossy(&received).into_owned()
    });
    let order = TargetOrder {
        action: OrderAction::Start(1),
        class: "c".into(),
        dc: "d".into(),
        host: "h".into(),
        order: "o".to_owned(),
        term: Term(3),
    };
    let checks = Cell::new(0);
    let may_send = || {
        checks.set(checks.get() + 1);
        false
    };
    let error = platform.order(&order, &may_send).unwrap_err();
    assert!(matches!(error, PlatformError::Withheld { .. }), "{error}");
    assert_eq!(error.ran(), Ran::NotRun);
    assert_eq!(checks.get(), 1);
    let complete = serde_json::to_string(&order).unwrap();
    let received = server.join().unwrap();
    assert!(!received.contains(&complete), "{received}");
}
