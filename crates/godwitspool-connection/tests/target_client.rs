//! Answers of targets to the entry's client.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use godwitspool_connection::{PlainCall, TargetClient};
use godwitspool_types::{Millis, Ran};
use rstest::rstest;

/// Guards against a target in trouble whose status HTTP doesn't have, which callers get as an answer.
#[rstest]
#[case::zero("000", false)]
#[case::below_informational("099", false)]
#[case::error("599", true)]
#[case::beyond_errors("600", false)]
#[case::largest("999", false)]
fn a_status_that_http_does_not_have_is_no_answer(#[case] status: &str, #[case] is_answer: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TargetClient::new(listener.local_addr().unwrap());
    let answer = format!("HTTP/1.1 {status} Trouble\r\nContent-Length: 4\r\n\r\nbody");
    thread::spawn(move || {
        let (mut peer, _) = listener.accept().unwrap();
        assert!(peer.read(&mut [0; 1_024]).unwrap() > 0);
        peer.write_all(answer.as_bytes()).unwrap();
    });
    let call = PlainCall {
        method: "POST".to_owned(),
        path: "/x".to_owned(),
        ..PlainCall::default()
    };
    let called = client.call(&call, Millis(5_000));
    assert_eq!(called.is_ok(), is_answer, "{called:?}");
    if let Err(error) = called {
        assert_eq!(error.ran(), Ran::Unknown);
    }
}
