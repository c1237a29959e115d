//! An order whose right to be sent ends on the way never arrives whole.

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
        let mut got = Vec::new();
        // An abrupt end is as good as a close.
        drop(stream.read_to_end(&mut got));
        String::from_utf8_lossy(&got).into_owned()
    });
    let order = TargetOrder {
        action: OrderAction::Start(1),
        class: "c".into(),
        dc: "d".into(),
        host: "h".into(),
        order: "o".to_owned(),
        term: Term(3),
    };
    let asked = Cell::new(0);
    let may_send = || {
        asked.set(asked.get() + 1);
        false
    };
    let error = platform.order(&order, &may_send).unwrap_err();
    assert!(matches!(error, PlatformError::Withheld { .. }), "{error}");
    assert_eq!(error.ran(), Ran::NotRun);
    assert_eq!(asked.get(), 1);
    let whole = serde_json::to_string(&order).unwrap();
    let got = server.join().unwrap();
    assert!(!got.contains(&whole), "{got}");
}
