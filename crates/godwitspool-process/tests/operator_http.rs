//! The operators' HTTP server and its listener, over real sockets.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use godwitspool_process::{Metrics, OperatorApi, OperatorHttp, Readiness};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::SockRef;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

struct Daemon(Readiness);

impl OperatorApi for Daemon {
    fn readiness(&self) -> Readiness {
        self.0.clone()
    }

    fn status(&self) -> Value {
        json!({ "host": "nyarugenge-1" })
    }

    fn page(&self, path: &str) -> Option<Value> {
        path.strip_prefix("/explain/")
            .map(|name| json!({ "name": name }))
    }

    fn act(&self, path: &str) -> Option<Value> {
        (path == "/drain").then(|| json!({ "draining": true }))
    }
}

fn start(listener: TcpListener, readiness: Readiness) -> OperatorHttp {
    let metrics = Arc::new(Metrics::default());
    metrics
        .counter_by_reason("refusals", "Requests refused")
        .count("rate");
    OperatorHttp::start(listener, metrics, Arc::new(Daemon(readiness))).unwrap()
}

fn send_request(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let text = format!("{request} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

#[rstest]
#[case("GET /metrics", 200, "godwitspool_refusals_total{reason=\"rate\"} 1")]
#[case("GET /metrics", 200, "# EOF")]
#[case("GET /metrics", 200, "application/openmetrics-text")]
#[case("GET /healthz", 200, "\"healthy\":true")]
#[case("GET /readyz", 200, "\"ready\":true")]
#[case("GET /status", 200, "nyarugenge-1")]
#[case("GET /status?full=1", 200, "nyarugenge-1")]
#[case("GET /explain/4af1", 200, "\"name\":\"4af1\"")]
#[case("POST /drain", 200, "\"draining\":true")]
#[case("GET /drain", 404, "nothing at /drain")]
#[case("POST /status", 404, "nothing at /status")]
#[case("DELETE /status", 405, "method DELETE is not served")]
fn pages_answer(#[case] request: &str, #[case] status: u16, #[case] expected: &str) {
    let http = start(TcpListener::bind("127.0.0.1:0").unwrap(), Readiness::Ready);
    let response = send_request(http.address(), request);
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")),
        "{response}"
    );
    assert!(response.contains(expected), "{response}");
}

#[test]
fn a_daemon_that_is_not_ready_says_why() {
    let reason = Readiness::NotReady("no configuration found".to_owned());
    let http = start(TcpListener::bind("127.0.0.1:0").unwrap(), reason);
    let response = send_request(http.address(), "GET /readyz");
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("no configuration found"), "{response}");
    assert!(send_request(http.address(), "GET /healthz").starts_with("HTTP/1.1 200 "));
}

/// Guards against a listener that stays closed after an accept fails, for example because the
/// process has too many open files. Here each accept fails after 10 ms without a connection.
#[test]
fn the_listener_keeps_serving_after_failed_accepts() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = SockRef::from(&listener);
    socket
        .set_read_timeout(Some(Duration::from_millis(10)))
        .unwrap();
    let listener = Arc::new(godwitspool_process::HttpListener::new(listener).unwrap());
    let (sender, seen) = mpsc::channel();
    let own = Arc::clone(&listener);
    let server = thread::spawn(move || {
        while let Some(request) = own.next() {
            sender.send(request.url().to_owned()).unwrap();
            request
                .respond(tiny_http::Response::from_string("ok"))
                .unwrap();
        }
    });
    let start = Instant::now();
    while listener.reopened() < 3 {
        assert!(start.elapsed() < WAIT_TIMEOUT);
        thread::sleep(Duration::from_millis(5));
    }
    for path in ["/a", "/b"] {
        assert!(send_request(listener.address(), &format!("GET {path}")).contains("ok"));
        assert_eq!(seen.recv_timeout(WAIT_TIMEOUT).unwrap(), path);
    }
    listener.stop();
    server.join().unwrap();
}

#[test]
fn a_thousand_idle_connections_do_not_block_others() {
    let http = start(TcpListener::bind("127.0.0.1:0").unwrap(), Readiness::Ready);
    let idle: Vec<_> = (0..1_000)
        .map(|_| TcpStream::connect(http.address()).unwrap())
        .collect();
    assert!(send_request(http.address(), "GET /status").contains("nyarugenge-1"));
    drop(idle);
}

#[rstest]
#[case::no_http("\u{1}\u{2}\u{3}\r\n\r\n")]
#[case::no_version("GET /status\r\n\r\n")]
#[case::bad_length("POST /drain HTTP/1.1\r\nContent-Length: -1\r\n\r\n")]
#[case::endless_header(&format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(1 << 20)))]
fn malformed_requests_do_not_block_others(#[case] text: &str) {
    let http = start(TcpListener::bind("127.0.0.1:0").unwrap(), Readiness::Ready);
    let mut stream = TcpStream::connect(http.address()).unwrap();
    stream.set_write_timeout(Some(WAIT_TIMEOUT)).unwrap();
    drop(stream.write_all(text.as_bytes()));
    assert!(send_request(http.address(), "GET /status").contains("nyarugenge-1"));
}

#[test]
fn stop_frees_the_port() {
    let http = start(TcpListener::bind("127.0.0.1:0").unwrap(), Readiness::Ready);
    let address = http.address();
    http.stop();
    let start = Instant::now();
    while TcpListener::bind(address).is_err() {
        assert!(start.elapsed() < WAIT_TIMEOUT);
        thread::sleep(Duration::from_millis(5));
    }
}
