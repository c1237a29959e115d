//! Targets in trouble whose bytes come without end: bounded time, bounded memory, and no success.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use godwitspool_host::http::{Exchange, Pool, Request};
use rstest::rstest;

/// Bytes after which the server gives up, so that a failing test ends.
const MAX_SENT: usize = 256 << 20;
/// Memory that one response may take, with what the sockets hold.
const MAX_TAKEN: usize = 32 << 20;

/// Starts a server that answers one request with a head and then a piece again and again until the caller
/// closes. Returns its address and the number of bytes that it could send.
fn serve_endless(head: &'static str, piece: Vec<u8>) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut peer, _) = listener.accept().unwrap();
        assert!(peer.read(&mut [0; 1_024]).unwrap() > 0);
        let mut sent = 0;
        let mut next = peer.write_all(head.as_bytes());
        while next.is_ok() && sent < MAX_SENT {
            next = peer.write_all(&piece);
            sent += piece.len();
        }
        sent
    });
    (address, server)
}

#[rstest]
#[case::noise("", &[0xb7; 4_096])]
#[case::head(
    "HTTP/1.1 200 OK\r\n",
    b"X-Filler: 0123456789012345678901234567890123456789\r\n"
)]
#[case::informational("", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")]
#[case::until_close("HTTP/1.1 200 OK\r\n\r\n", &[b'x'; 4_096])]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", &[b'x'; 4_096])]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"4\r\nabcd\r\n"
)]
#[case::extension("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", &[b'x'; 4_096])]
#[case::trailers(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    b"X: y\r\n"
)]
fn an_answer_without_end_is_given_up_in_time(#[case] head: &'static str, #[case] piece: &[u8]) {
    // Small pieces are sent many at a time, or the test would measure the server.
    let piece = piece.repeat(65_536_usize.div_ceil(piece.len()));
    let (address, server) = serve_endless(head, piece);
    let began = Instant::now();
    let request = Request::new("POST", "/x", b"body".to_vec());
    let pool = Pool::default();
    let called = Exchange::call(&pool, address, &request, Duration::from_millis(500));
    assert!(called.is_err(), "an answer without an end isn't complete");
    assert!(
        began.elapsed() < Duration::from_secs(5),
        "{:?}",
        began.elapsed()
    );
    let sent = server.join().unwrap();
    // Informational heads and trailers are read and dropped as long as the time allows.
    let kept = !head.is_empty() && !head.ends_with("0\r\n");
    assert!(!kept || sent < MAX_TAKEN, "{sent} bytes were taken");
}
