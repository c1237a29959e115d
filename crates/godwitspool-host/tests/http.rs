//! HTTP/1.1: framing that arrives in pieces or is malformed, and the shutdown of a server.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use godwitspool_host::{
    http::{
        BodyDecoder, Bounds, CallError, Caller, ChunkState, Connection, DecodeError, Exchange,
        Headers, Pool, Progress, Request, Response, Server, decode_request, decode_response, wait,
    },
    lease_clock,
};
use rstest::rstest;
use socket2::SockRef;

/// Maximum time that a test waits; reached only when it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn headers(fields: &[(&str, &str)]) -> Headers {
    let fields = fields.iter();
    Headers(
        fields
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect(),
    )
}

#[rstest]
fn a_chunked_body_is_the_same_in_whatever_pieces_it_arrives(#[values(1, 2, 3, 7, 64)] size: usize) {
    let bytes = b"5\r\nhello\r\n6;note=1\r\n world\r\n0\r\nTrailer: x\r\n\r\nnext";
    let mut decoder = BodyDecoder::Chunked(ChunkState::Size);
    let (mut input, mut body) = (Vec::new(), Vec::new());
    for piece in bytes.chunks(size) {
        input.extend_from_slice(piece);
        decoder.decode(&mut input, &mut body).unwrap();
    }
    assert!(decoder.is_done());
    assert_eq!(body, b"hello world");
    assert_eq!(
        input, b"next",
        "bytes after the body must stay in the input"
    );
}

/// Guards against a request that is sent although its reason is gone by the time the connection is open.
#[test]
fn a_call_that_may_not_be_sent_any_more_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let request = Request::new("POST", "/", Vec::new());
    let called = Exchange::call_if(&Pool::default(), address, &request, WAIT_TIMEOUT, || false);
    let error = called.unwrap_err();
    assert!(matches!(error, CallError::Connect { .. }), "{error}");
    let (mut accepted, _) = listener.accept().unwrap();
    accepted.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    // The connection may be reset.
    let _ = accepted.read_to_end(&mut bytes);
    assert!(bytes.is_empty(), "{bytes:?}");
}

#[rstest]
#[case(b"x\r\n".as_slice())]
#[case(b"\r\n")]
#[case(b"5\nhello")]
#[case(b"3\r\nabcdef\r\n")]
fn malformed_chunks_are_refused(#[case] bytes: &[u8]) {
    let mut decoder = BodyDecoder::Chunked(ChunkState::Size);
    let decoded = decoder.decode(&mut bytes.to_vec(), &mut Vec::new());
    assert_eq!(decoded, Err(DecodeError::Framing));
}

#[rstest]
#[case(&[("Content-Length", "4"), ("Transfer-Encoding", "chunked")])]
#[case(&[("Content-Length", "4"), ("Content-Length", "4")])]
#[case(&[("Content-Length", "-1")])]
#[case(&[("Content-Length", "")])]
#[case(&[("Transfer-Encoding", "identity")])]
fn a_request_whose_framing_is_ambiguous_is_refused(#[case] fields: &[(&str, &str)]) {
    assert_eq!(
        BodyDecoder::of_request(&headers(fields)),
        Err(DecodeError::Framing)
    );
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    let response = Response::new(200, Vec::new());
    assert_eq!(
        BodyDecoder::of_response("GET", &response),
        Ok(BodyDecoder::UntilClose)
    );
    assert_eq!(
        BodyDecoder::of_response("HEAD", &response),
        Ok(BodyDecoder::Done)
    );
}

#[test]
fn heads_are_decoded_once_they_are_complete() {
    let bytes = b"POST /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\nbody";
    assert_eq!(decode_request(&bytes[..20]), Ok(None));
    let (request, length) = decode_request(bytes).unwrap().unwrap();
    assert_eq!((request.path(), request.parameter("b")), ("/a", Some("1")));
    assert_eq!(&bytes[length..], b"body");
    assert_eq!(decode_response(b"nonsense\r\n\r\n"), Err(DecodeError::Head));
    for (code, is_valid) in [
        (0, false),
        (99, false),
        (100, true),
        (599, true),
        (600, false),
    ] {
        let head = format!("HTTP/1.1 {code:03} \r\n\r\n");
        assert_eq!(decode_response(head.as_bytes()).is_ok(), is_valid, "{code}");
    }
}

#[test]
fn hop_by_hop_fields_are_removed() {
    let mut request = Request::new("GET", "/", Vec::new());
    request.headers = headers(&[
        ("Connection", "close, X-Own"),
        ("X-Own", "1"),
        ("Keep-Alive", "timeout=5"),
        ("X-Kept", "2"),
    ]);
    request.headers.remove_hop_by_hop();
    assert_eq!(request.headers, headers(&[("X-Kept", "2")]));
}

/// Starts a server that responds with 200 to every request.
fn start_server() -> Server {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = |caller: &mut Caller, _| caller.respond(&Response::new(200, "done"));
    Server::start(any, Bounds::default, answer).unwrap()
}

fn await_ended(server: &Server) {
    let due = Instant::now() + WAIT_TIMEOUT;
    while !server.is_ended() {
        assert!(
            Instant::now() < due,
            "{} connections still open",
            server.open_connections()
        );
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_server_has_not_ended_while_a_request_may_have_arrived() {
    let server = start_server();
    let mut caller = TcpStream::connect(server.address()).unwrap();
    caller.write_all(b"POST /a HTTP/1.1\r\n").unwrap();
    // Gives the server time to read the partial request.
    thread::sleep(Duration::from_millis(100));
    server.stop();
    assert!(!server.is_ended(), "a partial request has been received");
    caller
        .write_all(b"Host: x\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    await_ended(&server);
}

#[test]
fn a_connection_that_came_about_before_the_stop_is_served() {
    for _ in 0..50 {
        let server = start_server();
        let mut caller = TcpStream::connect(server.address()).unwrap();
        let request = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
        caller.write_all(request).unwrap();
        server.stop();
        let mut answer = String::new();
        caller.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        await_ended(&server);
    }
}

#[test]
fn idle_connections_do_not_hold_a_stopped_server() {
    let server = start_server();
    let _idle = TcpStream::connect(server.address()).unwrap();
    server.stop();
    await_ended(&server);
}

/// Guards against an order that is given up and still carried out, and against DRAIN, a request that
/// reaches a target after it has left: bytes that a cut holds up arrive after a normal close, but not
/// after a reset.
#[test]
fn an_abandoned_request_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let request = Request::new("POST", "/api/order", b"order".to_vec());
    let timeout = Duration::from_millis(100);
    let called = Exchange::call(&Pool::default(), address, &request, timeout);
    assert!(called.unwrap_err().was_sent());
    let (mut peer, _) = listener.accept().unwrap();
    peer.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let ended = peer.read_to_end(&mut Vec::new());
    assert_eq!(ended.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

/// Guards against UNASKED: the kernel gives up a connection that a cut silences before its owner does, and
/// doesn't reset it, so the request arrives once the cut heals. A cut may begin while the connection is idle, so the
/// kernel's timeouts are off then as well. Callers' requests have no others.
#[rstest]
#[case::own_timeouts(Pool::default(), false)]
#[case::callers(Pool::default().with_kernel_timeouts(), true)]
fn only_its_owner_gives_up_a_request_that_has_timeouts_of_its_own(
    #[case] pool: Pool,
    #[case] kernel: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connection = pool.connect(address).unwrap();
    let socket = connection.socket();
    let timeouts = || {
        let socket = SockRef::from(&*socket);
        (
            socket.keepalive().unwrap(),
            socket.tcp_user_timeout().unwrap().is_some(),
        )
    };
    assert_eq!(timeouts(), (kernel, kernel), "a new connection");
    let request = Request::new("GET", "/x", Vec::new());
    let mut exchange = Exchange::new(connection, &request);
    let (mut peer, _) = listener.accept().unwrap();
    wait(&[exchange.socket()], Some(WAIT_TIMEOUT)).unwrap();
    assert_eq!(exchange.advance().unwrap(), Progress::Pending);
    assert_eq!(timeouts(), (kernel, kernel), "a request in flight");
    peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    wait(&[exchange.socket()], Some(WAIT_TIMEOUT)).unwrap();
    while exchange.advance().unwrap() == Progress::Pending {
        wait(&[exchange.socket()], Some(WAIT_TIMEOUT)).unwrap();
    }
    let (_, reusable) = exchange.finish();
    pool.put(address, reusable.unwrap());
    assert_eq!(timeouts(), (kernel, kernel), "an idle connection");
    assert!(pool.take(address).is_some());
    assert_eq!(timeouts(), (kernel, kernel), "a connection that is reused");
}

/// Guards against calls that time out one after the other: idle connections have all fallen silent, and each call
/// takes the next one.
#[test]
fn a_call_without_an_answer_closes_the_idle_connections_to_its_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let pool = Pool::default();
    let connections: Vec<Connection> = (0..3).map(|_| pool.connect(address).unwrap()).collect();
    for connection in connections {
        pool.put(address, connection);
    }
    let request = Request::new("GET", "/x", Vec::new());
    let called = Exchange::call(&pool, address, &request, Duration::from_millis(50));
    assert!(matches!(called, Err(CallError::Late { .. })), "{called:?}");
    assert_eq!(pool.idle_connections(), 0);
}

/// Guards against DRAIN: a thread or host that stood still between the choice of a target and the first
/// byte sends a request to a target that has left.
#[test]
fn a_request_whose_choice_has_aged_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let request = Request::new("POST", "/x", b"body".to_vec());
    let connection = Pool::default().connect(address).unwrap();
    let mut exchange = Exchange::new(connection, &request).begin_by(lease_clock());
    let (mut peer, _) = listener.accept().unwrap();
    thread::sleep(Duration::from_millis(5));
    assert!(matches!(exchange.advance(), Err(CallError::Connect { .. })));
    assert!(!exchange.was_sent());
    drop(exchange);
    peer.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut received = Vec::new();
    let _reset_or_closed = peer.read_to_end(&mut received);
    assert!(received.is_empty(), "nothing reaches the target");
}

#[test]
fn an_answered_request_leaves_its_connection_open() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut peer, _) = listener.accept().unwrap();
        peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
        peer.read_to_end(&mut Vec::new())
    });
    let pool = Pool::default();
    let request = Request::new("GET", "/x", Vec::new());
    let answer = Exchange::call(&pool, address, &request, WAIT_TIMEOUT).unwrap();
    assert_eq!(answer.status, 200);
    drop(pool);
    assert!(
        server.join().unwrap().is_ok(),
        "an idle connection is closed normally"
    );
}

/// Targets come and go at ever new addresses. Idle connections to those that are gone would use up the
/// file descriptors.
#[test]
fn idle_connections_to_addresses_that_are_gone_are_closed() {
    let pool = Pool::new(Duration::ZERO);
    let open = || {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connection = Pool::default().connect(address).unwrap();
        let (peer, _) = listener.accept().unwrap();
        pool.put(address, connection);
        peer
    };
    for _ in 0..50 {
        drop(open());
        thread::sleep(Duration::from_millis(5));
    }
    let (first, second) = (open(), open());
    assert!(pool.idle_connections() <= 3);
    drop((first, second));
}
