//! Links and servers over real sockets, with valid and with damaged frames.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::peer::{Link, LinkBounds, LinkError, ServeBounds, Server};
use godwitspool_types::{Millis, Ran};
use rstest::rstest;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: {what}"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn doubling_server(bounds: ServeBounds) -> Server {
    let (listener, _) = listen();
    Server::start(listener, bounds, |n: u64| n * 2).unwrap()
}

fn frame(body: &[u8]) -> Vec<u8> {
    let mut frame = b"GWS1".to_vec();
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(body);
    frame
}

#[test]
fn many_calls_share_a_connection_and_get_their_own_answers() {
    let server = doubling_server(ServeBounds::default());
    let link = Arc::new(Link::<u64, u64>::new(
        server.address(),
        LinkBounds::default(),
    ));
    let callers = (0..16u64).map(|caller| {
        let link = Arc::clone(&link);
        thread::spawn(move || {
            for n in caller * 1_000..caller * 1_000 + 50 {
                assert_eq!(link.call(&n).unwrap(), n * 2);
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.join().unwrap();
    }
    assert_eq!(server.counts().open, 1);
    assert_eq!(server.counts().answered, 800);
}

#[test]
fn a_slow_call_does_not_hold_back_others() {
    let (release, gate) = mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let (listener, address) = listen();
    let _server = Server::start(listener, ServeBounds::default(), move |n: u64| {
        if n == 0 {
            gate.lock().unwrap().recv().unwrap();
        }
        n
    })
    .unwrap();
    let link = Arc::new(Link::<u64, u64>::new(
        address,
        LinkBounds::default().with_answer_timeout(Millis(20_000)),
    ));
    let slow = Arc::clone(&link);
    let slow = thread::spawn(move || slow.call(&0).unwrap());
    assert_eq!(link.call(&1).unwrap(), 1);
    release.send(()).unwrap();
    assert_eq!(slow.join().unwrap(), 0);
}

#[test]
fn a_connection_that_timed_out_takes_no_further_call() {
    let (listener, address) = listen();
    let accepted = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&accepted);
    thread::spawn(move || {
        let mut held = Vec::new();
        for stream in listener.incoming() {
            held.push(stream.unwrap());
            counted.fetch_add(1, Ordering::SeqCst);
        }
    });
    let link = Link::<u64, u64>::new(
        address,
        LinkBounds::default().with_answer_timeout(Millis(30)),
    );
    for calls in 1..=2 {
        let error = link.call(&7).unwrap_err();
        assert!(matches!(error, LinkError::Timeout { .. }), "{error}");
        assert_eq!(error.ran(), Ran::Unknown);
        wait_until("a connection of its own for each call", || {
            accepted.load(Ordering::SeqCst) == calls
        });
    }
}

#[test]
fn answers_with_unknown_ids_are_dropped() {
    let (listener, address) = listen();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut header = [0; 8];
        stream.read_exact(&mut header).unwrap();
        let bytes = u32::from_le_bytes(header[4..].try_into().unwrap()) as usize;
        let mut body = vec![0; bytes];
        stream.read_exact(&mut body).unwrap();
        let (id, _) = postcard::take_from_bytes::<u64>(&body).unwrap();
        for (id, answer) in [(id + 1, 99u64), (id, 5), (id, 6)] {
            let body = postcard::to_stdvec(&(id, answer)).unwrap();
            stream.write_all(&frame(&body)).unwrap();
        }
        stream.read_to_end(&mut body).unwrap();
    });
    let link = Link::<u64, u64>::new(address, LinkBounds::default());
    assert_eq!(link.call(&1).unwrap(), 5);
    wait_until("two dropped answers", || link.dropped() == 2);
}

#[test]
fn a_lost_connection_is_reopened() {
    let (listener, address) = listen();
    let server = Server::start(listener, ServeBounds::default(), |n: u64| n).unwrap();
    let link = Link::<u64, u64>::new(address, LinkBounds::default());
    assert_eq!(link.call(&1).unwrap(), 1);
    server.stop();
    assert!(link.call(&2).is_err());
    let listener = TcpListener::bind(address).unwrap();
    let _server = Server::start(listener, ServeBounds::default(), |n: u64| n + 1).unwrap();
    let start = Instant::now();
    while link.call(&2).is_err() {
        assert!(start.elapsed() < WAIT_TIMEOUT);
    }
}

#[test]
fn nothing_listening_means_not_run() {
    let (listener, address) = listen();
    drop(listener);
    let link = Link::<u64, u64>::new(address, LinkBounds::default());
    assert_eq!(link.call(&1).unwrap_err().ran(), Ran::NotRun);
}

#[test]
fn a_request_over_the_bound_is_not_sent() {
    let server = doubling_server(ServeBounds::default());
    let bounds = LinkBounds::default().with_max_frame_bytes(4);
    let link = Link::<Vec<u8>, u64>::new(server.address(), bounds);
    let error = link.call(&vec![0; 64]).unwrap_err();
    assert_eq!(error.ran(), Ran::NotRun);
    assert_eq!(server.counts().open, 0);
}

#[rstest]
#[case::cut_header(b"GWS".to_vec())]
#[case::cut_body(frame(&[1, 2, 3, 4])[..10].to_vec())]
#[case::foreign_protocol(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::too_large([b"GWS1".as_slice(), &u32::MAX.to_le_bytes()].concat())]
#[case::undecodable(frame(&[255; 12]))]
#[case::bytes_left_over(frame(&[1, 2, 3]))]
#[case::empty_body(frame(&[]))]
fn damaged_frames_are_counted_and_close_their_connection(#[case] bytes: Vec<u8>) {
    let server = doubling_server(ServeBounds::default());
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.write_all(&bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    wait_until("the damaged frame is counted", || {
        server.counts().damaged == 1
    });
    wait_until("the connection is closed", || server.counts().open == 0);
    assert_eq!(server.counts().answered, 0);
    let link = Link::<u64, u64>::new(server.address(), LinkBounds::default());
    assert_eq!(link.call(&4).unwrap(), 8);
}

#[test]
fn a_frame_with_a_too_large_length_is_refused_before_its_body() {
    let server = doubling_server(ServeBounds::default().with_idle_timeout(Millis(600_000)));
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let header = [b"GWS1".as_slice(), &u32::MAX.to_le_bytes()].concat();
    stream.write_all(&header).unwrap();
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);
    assert_eq!(server.counts().damaged, 1);
}

#[test]
fn a_clean_close_is_not_counted_as_damage() {
    let server = doubling_server(ServeBounds::default());
    let link = Link::<u64, u64>::new(server.address(), LinkBounds::default());
    assert_eq!(link.call(&4).unwrap(), 8);
    drop(link);
    wait_until("the connection is closed", || server.counts().open == 0);
    assert_eq!(server.counts().damaged, 0);
}

#[test]
fn connections_over_the_bound_are_refused_and_others_served() {
    let server = doubling_server(ServeBounds::default().with_max_connections(1));
    let link = Link::<u64, u64>::new(server.address(), LinkBounds::default());
    assert_eq!(link.call(&1).unwrap(), 2);
    let second = Link::<u64, u64>::new(server.address(), LinkBounds::default());
    assert!(second.call(&1).is_err());
    assert_eq!(server.counts().refused, 1);
    assert_eq!(link.call(&2).unwrap(), 4);
}

#[test]
fn idle_connections_are_closed() {
    let server = doubling_server(ServeBounds::default().with_idle_timeout(Millis(20)));
    let _idle = TcpStream::connect(server.address()).unwrap();
    wait_until("the connection was opened and closed", || {
        server.counts().open == 0
    });
    let mut idle = TcpStream::connect(server.address()).unwrap();
    idle.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
}

#[test]
fn stop_answers_the_calls_in_progress() {
    let (entered, started) = mpsc::channel();
    let (listener, address) = listen();
    let server = Server::start(listener, ServeBounds::default(), move |n: u64| {
        entered.send(()).unwrap();
        thread::sleep(Duration::from_millis(50));
        n
    })
    .unwrap();
    let call = thread::spawn(move || {
        Link::<u64, u64>::new(
            address,
            LinkBounds::default().with_answer_timeout(Millis(20_000)),
        )
        .call(&3)
    });
    started.recv().unwrap();
    server.stop();
    assert_eq!(call.join().unwrap().unwrap(), 3);
    assert!(TcpStream::connect(address).is_err());
}
