//! Who is refused or closed first when callers want more than the machine has, and what a machine's
//! callers may use.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_host::{
    ClientLimits, Resources,
    http::{
        Bounds, Caller, Candidate, Connection, KernelTimeouts, Ledger, Limited, Limits,
        MemoryBudget, Phase, Pool, Request, Response, Server, choose_closed, choose_refused,
    },
    process::ClientShare,
};
use godwitspool_types::Millis;
use rstest::rstest;

const MB: usize = 1024 * 1024;
/// Maximum time that a test waits; reached only when it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn address(last: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last).into()
}

/// Returns a connection of one address that reads a body and made progress just now.
fn reading(number: u64, bytes: usize, age: u64) -> Candidate {
    Candidate {
        number,
        address: address(1),
        phase: Phase::Reading,
        bytes,
        answered: 0,
        age: Millis(age),
        quiet: Millis::ZERO,
    }
}

fn quiet(candidate: Candidate, quiet: u64) -> Candidate {
    Candidate {
        quiet: Millis(quiet),
        ..candidate
    }
}

fn at(candidate: Candidate, last: u8) -> Candidate {
    Candidate {
        address: address(last),
        ..candidate
    }
}

/// Guards against bodies that stop short of their end and shut everybody else out.
#[test]
fn the_body_that_stalled_first_goes_first() {
    let crowd = [
        quiet(reading(1, 24 * MB, 9_000), 2_000),
        quiet(reading(2, 24 * MB, 9_000), 5_000),
        reading(3, 4 * MB, 9_000),
        reading(4, MB, 100),
    ];
    assert_eq!(choose_refused(&crowd, 4), Some(2));
}

/// Guards against senders of a byte now and then, which never stall for long.
#[test]
fn without_stalled_bodies_the_slowest_goes_first() {
    let crowd = [
        reading(1, 8 * MB, 60_000),
        reading(2, 8 * MB, 2_000),
        reading(3, 8 * MB, 500),
    ];
    assert_eq!(choose_refused(&crowd, 3), Some(1));
}

/// Guards against newcomers that end each other in turn, so that none is served.
#[test]
fn among_bodies_that_have_just_begun_the_one_that_asks_goes() {
    let crowd = [
        reading(1, 8 * MB, 500),
        reading(2, 8 * MB, 500),
        reading(3, 0, 10),
    ];
    assert_eq!(choose_refused(&crowd, 3), Some(3));
}

/// Guards against one caller's crowd that ends the single request of another.
#[test]
fn the_caller_that_holds_most_gives_up_first() {
    let single = quiet(reading(1, 20 * MB, 9_000), 3_000);
    let crowd: Vec<Candidate> = (2..20)
        .map(|number| at(reading(number, 2 * MB, 9_000), 2))
        .chain([single])
        .collect();
    let chosen = choose_refused(&crowd, 5).unwrap();
    assert!((2..20).contains(&chosen), "{chosen} of the crowd goes");
}

/// Guards against refusals that aren't true, and against ending small requests for a large one.
#[test]
fn requests_being_handled_and_small_ones_are_not_refused() {
    let handled = Candidate {
        phase: Phase::Handling,
        ..quiet(reading(1, 24 * MB, 9_000), 9_000)
    };
    let small = quiet(reading(2, 64 * 1024, 9_000), 5_000);
    let asking = reading(3, 4 * MB, 100);
    assert_eq!(choose_refused(&[handled, small, asking], 3), Some(3));
    assert_eq!(choose_refused(&[handled, small], 9), None);
}

/// Guards against readers that never read: a response that stands still is ended, one that moves isn't.
#[rstest]
#[case(2_000, Some(1))]
#[case(200, Some(2))]
fn a_response_that_stands_still_is_ended(#[case] still: u64, #[case] chosen: Option<u64>) {
    let response = Candidate {
        phase: Phase::Responding,
        ..quiet(reading(1, 16 * MB, 9_000), still)
    };
    assert_eq!(choose_refused(&[response, reading(2, MB, 100)], 2), chosen);
}

/// Guards against connections alone that shut callers out.
#[test]
fn connections_that_were_never_answered_are_closed_first() {
    let idle = |number, answered, since| Candidate {
        phase: Phase::Idle,
        answered,
        ..quiet(reading(number, 0, since), since)
    };
    let open = [idle(1, 7, 9_000), idle(2, 0, 400), idle(3, 0, 800)];
    assert_eq!(choose_closed(&open, None), Some(3));
    let other = at(idle(4, 0, 60_000), 2);
    let all = [open[0], open[1], other];
    assert_eq!(choose_closed(&all, None), Some(2), "most come from there");
    assert_eq!(choose_closed(&all, Some(address(2))), Some(4));
    let handled = Candidate {
        phase: Phase::Handling,
        ..open[1]
    };
    assert_eq!(choose_closed(&[handled], None), None);
}

/// Guards against memory that the allocator keeps once a crowd has gone, and against giving it back
/// after each request.
#[test]
fn memory_is_given_back_once_after_a_crowd() {
    let mut ledger = Ledger::new(64 * MB);
    for _ in 0..4 {
        assert!(ledger.take(8 * MB, 8 * MB));
    }
    let gone: Vec<bool> = (0..4).map(|_| ledger.give(8 * MB)).collect();
    assert_eq!(gone, [false, false, false, true]);
    assert!(ledger.take(MB, MB));
    assert!(!ledger.give(MB), "one request is no crowd");
}

/// Guards against defaults that clients inside the limits reach: a full body and a full submission fit.
/// If one host gets 12 interactive requests a second, all that callers of a deployment send, from one
/// address and each on a connection that is kept for four fifths of 15 s, it has 144 connections.
#[rstest]
#[case(120, 3_075)]
#[case(160, 4_100)]
#[case(512, 10_250)]
fn defaults_leave_room_for_clients_inside_the_limits(#[case] mb: u64, #[case] descriptors: u32) {
    let resources = Resources {
        descriptors: Some(descriptors),
        memory: Some(mb << 20),
        ..Resources::default()
    };
    let share = ClientShare::of_callers(&resources, &ClientLimits::default());
    let body = Bounds::default().body_bytes;
    let mut ledger = Ledger::new(share.memory);
    assert!(ledger.take(body + body / 4 * 3, body + body / 4 * 3));
    assert!(share.per_address >= 12 * 12, "{share:?}");
    assert!(share.connections > share.per_address, "{share:?}");
    let peers = ClientShare::of_peers(&resources);
    let accepted = share.connections + 2 * peers.connections;
    assert!(
        accepted <= (descriptors - 200) as usize / 2,
        "half is for the store and targets"
    );
}

/// Starts a server with the given limits, whose handler responds with the length of the body.
fn serve(limits: Limits) -> Server {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = |caller: &mut Caller, request: Request| {
        caller.respond(&Response::new(200, request.body.len().to_string()))
    };
    Server::start_limited(any, limits, Bounds::default, answer).unwrap()
}

/// Sends the head of a request and a part of its body.
fn begin(server: &Server, length: usize, part: usize) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    // A refused caller's connection may be closed meanwhile.
    let _ = stream.write_all(&vec![b'x'; part]);
    stream
}

fn response(mut stream: TcpStream) -> String {
    let mut bytes = vec![0; 256];
    let length = stream.read(&mut bytes).unwrap_or_default();
    String::from_utf8_lossy(&bytes[..length]).into_owned()
}

/// Guards against stalled bodies that hold the memory which a whole one needs: the stalled one is told
/// that it hasn't run, and the whole one is served.
#[test]
fn a_stalled_body_gives_way_to_a_whole_one() {
    let limited = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&limited);
    let server = serve(Limits {
        memory: Arc::new(MemoryBudget::new(8 * MB)),
        refusal: Response::new(503, Vec::new()).with("Retry-After", "1.00"),
        observe: Arc::new(move |limit| {
            assert_eq!(limit, Limited::Memory);
            seen.fetch_add(1, Ordering::SeqCst);
        }),
        ..Limits::default()
    });
    let stalled = begin(&server, 6 * MB, 5 * MB);
    thread::sleep(Duration::from_millis(1_500));
    let whole = begin(&server, 6 * MB, 6 * MB);
    assert!(response(whole).ends_with(&(6 * MB).to_string()));
    let refusal = response(stalled);
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("Retry-After: 1.00"), "{refusal}");
    assert_eq!(limited.load(Ordering::SeqCst), 1);
}

/// Guards against LOST: an answer that its handler has counted as it came is counted again when it is sent, and the
/// caller's connection is closed without one, also if there really is no memory for it.
#[rstest]
#[case::counted_in_pieces(56, &[33, 56], "200")]
#[case::small(32, &[], "200")]
#[case::too_large(100, &[], "502")]
fn a_response_is_counted_once_and_none_is_dropped(
    #[case] size_kb: usize,
    #[case] held_kb: &'static [usize],
    #[case] wanted: &str,
) {
    let memory = Arc::new(MemoryBudget::new(16 * MB));
    // What is left is for ordinary callers.
    let _taken = MemoryBudget::reserve(&memory, 15 * MB).unwrap();
    let limits = Limits {
        memory,
        ..Limits::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = move |caller: &mut Caller, _: Request| {
        for held in held_kb {
            assert!(caller.hold(held * 1024));
        }
        caller.respond(&Response::new(200, vec![b'x'; size_kb * 1024]))
    };
    let server = Server::start_limited(any, limits, Bounds::default, answer).unwrap();
    let status = response(begin(&server, 3, 3));
    assert!(
        status.starts_with(&format!("HTTP/1.1 {wanted}")),
        "{status}"
    );
}

/// Guards against connections and threads without bound.
#[test]
fn connections_stay_under_their_bound_and_new_ones_are_served() {
    let server = serve(Limits {
        connections: 8,
        per_address: 6,
        ..Limits::default()
    });
    let mut open = Vec::new();
    for _ in 0..40 {
        open.push(TcpStream::connect(server.address()).unwrap());
        assert!(server.open_connections() <= 6);
    }
    assert!(response(begin(&server, 3, 3)).ends_with('3'));
    drop(open);
    let due = Instant::now() + WAIT_TIMEOUT;
    while server.open_connections() > 1 && Instant::now() < due {
        thread::sleep(Duration::from_millis(5));
    }
    assert!(server.open_connections() <= 1);
}

/// Guards against idle connections to many targets that take the descriptors of those in use.
#[test]
fn idle_connections_stay_under_their_bound_and_leave_room_once_used() {
    let servers = [(); 3].map(|()| serve(Limits::default()));
    let pool = Pool::default().with_limit(2);
    let put = |server: &Server| {
        let connection = Connection::connect(server.address(), KernelTimeouts::Off).unwrap();
        pool.put(server.address(), connection);
    };
    servers.iter().for_each(put);
    assert_eq!(pool.idle_connections(), 2);
    pool.close(servers[0].address());
    put(&servers[2]);
    assert_eq!(pool.idle_connections(), 2);
    assert!(pool.take(servers[2].address()).is_some());
    assert_eq!(pool.idle_connections(), 1);
}
