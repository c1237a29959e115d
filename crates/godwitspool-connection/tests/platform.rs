//! How the platform's client classifies refusals, outages, malformed answers and lost ones.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    thread,
};

use godwitspool_connection::{
    http::{Platform, PlatformApi, PlatformBounds, PlatformError},
    platform::{OrderAction, OrderAnswer, TargetOrder},
};
use godwitspool_types::{Millis, Offset, Ran, Term};
use rstest::rstest;

/// Starts a server that answers each request with these bytes and closes the connection. Returns a
/// client of it.
fn platform_answering(answer: &str) -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    let answer = answer.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            read_request(&stream);
            drop(stream.write_all(answer.as_bytes()));
        }
    });
    Platform::new(base)
}

fn read_request(stream: &TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut bytes = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let line = line.to_ascii_lowercase();
        if let Some(length) = line.strip_prefix("content-length:") {
            bytes = length.trim().parse().unwrap();
        }
        if line.trim().is_empty() {
            break;
        }
    }
    reader.read_exact(&mut vec![0; bytes]).unwrap();
}

fn http_response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}")
}

fn order() -> TargetOrder {
    TargetOrder {
        action: OrderAction::Start(1),
        class: "reserved".into(),
        dc: "gori".into(),
        host: "gori-1".into(),
        order: "1".to_owned(),
        term: Term(3),
    }
}

#[rstest]
#[case::outage(&http_response("503 Service Unavailable", "out"), "outage", Ran::NotRun)]
#[case::rate(&http_response("429 Too Many Requests", "rate"), "refused", Ran::NotRun)]
#[case::bad_request(&http_response("400 Bad Request", "no"), "refused", Ran::NotRun)]
#[case::failed(&http_response("500 Internal Server Error", "oh"), "unknown", Ran::Unknown)]
#[case::gateway(&http_response("502 Bad Gateway", "oh"), "unknown", Ran::Unknown)]
#[case::closed("", "unknown", Ran::Unknown)]
#[case::no_http("\u{1}\u{2}\u{3}\r\n\r\n", "unknown", Ran::Unknown)]
#[case::cut_head("HTTP/1.1 200 OK\r\nContent-", "unknown", Ran::Unknown)]
#[case::cut_body(
    "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"first\"",
    "unknown",
    Ran::Unknown
)]
#[case::no_json(&http_response("200 OK", "well done"), "unknown", Ran::Unknown)]
#[case::other_json(&http_response("200 OK", "{\"second\": 1}"), "unknown", Ran::Unknown)]
#[case::redirect(&http_response("302 Found", ""), "refused", Ran::NotRun)]
fn an_append_that_fails_says_whether_it_may_have_run(
    #[case] answer: &str,
    #[case] kind: &str,
    #[case] ran: Ran,
) {
    let error = platform_answering(answer)
        .append(&["a".to_owned()])
        .unwrap_err();
    let found = match &error {
        PlatformError::Outage { .. } => "outage",
        PlatformError::Refused { .. } => "refused",
        PlatformError::Withheld { .. } => "withheld",
        PlatformError::Unknown { .. } => "unknown",
    };
    assert_eq!(found, kind, "{error}");
    assert_eq!(error.ran(), ran, "{error}");
}

#[test]
fn a_closed_port_is_an_outage_in_which_nothing_ran() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let platform = Platform::new(format!("http://{}", listener.local_addr().unwrap()));
    drop(listener);
    let error = platform.append(&[]).unwrap_err();
    assert!(matches!(error, PlatformError::Outage { .. }), "{error}");
}

#[test]
fn an_answer_that_does_not_come_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let bounds = PlatformBounds {
        call_timeout: Millis(50),
        ..PlatformBounds::default()
    };
    let base = format!("http://{}", listener.local_addr().unwrap());
    let error = Platform::with_bounds(base, bounds).append(&[]).unwrap_err();
    assert_eq!(error.ran(), Ran::Unknown, "{error}");
}

#[test]
fn throttling_is_distinguished_from_other_refusals() {
    let rate = platform_answering(&http_response("429 Too Many Requests", "")).append(&[]);
    assert!(rate.unwrap_err().is_throttled());
    let other = platform_answering(&http_response("403 Forbidden", "")).append(&[]);
    assert!(!other.unwrap_err().is_throttled());
}

#[test]
fn answers_are_read() {
    let appended = platform_answering(&http_response("200 OK", "{\"first\": 7}")).append(&[]);
    assert_eq!(appended.unwrap().first, Offset(7));
    let fenced = platform_answering(&http_response("409 Conflict", "{\"fenced\": 9}"));
    let answer = fenced.order(&order(), &|| true).unwrap();
    assert_eq!(answer, OrderAnswer::Fenced(Term(9)));
}

#[test]
fn an_order_that_fails_its_check_is_withheld() {
    let platform = platform_answering(&http_response("200 OK", "{\"done\": []}"));
    let error = platform.order(&order(), &|| false).unwrap_err();
    assert!(matches!(error, PlatformError::Withheld { .. }), "{error}");
    assert_eq!(error.ran(), Ran::NotRun);
}
