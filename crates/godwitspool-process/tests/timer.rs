//! Ticks of the timer.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{sync::mpsc, time::Duration};

use godwitspool_process::{Clock, Tick, Timer};
use godwitspool_types::Millis;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug)]
enum Event {
    Tick(Millis),
}

impl From<Tick> for Event {
    fn from(tick: Tick) -> Self {
        Self::Tick(tick.now)
    }
}

#[test]
fn ticks_come_no_sooner_than_due_and_in_order() {
    let timer = Timer::start(Clock::start()).unwrap();
    let (sender, events) = mpsc::channel::<Event>();
    timer.after(Millis(40), sender.clone());
    timer.after(Millis(10), sender);
    let Event::Tick(first) = events.recv_timeout(WAIT_TIMEOUT).unwrap();
    let Event::Tick(second) = events.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert!(
        first >= Millis(10) && second >= Millis(40),
        "{first} {second}"
    );
    assert!(
        events.recv_timeout(WAIT_TIMEOUT).is_err(),
        "one tick each, then the subscription ends"
    );
}

#[test]
fn periods_repeat_and_a_dropped_subscriber_does_not_block_others() {
    let timer = Timer::start(Clock::start()).unwrap();
    let (dropped, receiver) = mpsc::channel::<Tick>();
    timer.every(Millis(1), dropped);
    drop(receiver);
    let (sender, ticks) = mpsc::channel::<Tick>();
    timer.every(Millis(3), sender);
    let nows: Vec<_> = (0..5)
        .map(|_| ticks.recv_timeout(WAIT_TIMEOUT).unwrap().now)
        .collect();
    assert!(nows.is_sorted());
    assert!(nows[4] >= Millis(15));
}

#[test]
fn dropping_the_timer_ends_its_subscriptions() {
    let timer = Timer::start(Clock::start()).unwrap();
    let (sender, ticks) = mpsc::channel::<Tick>();
    timer.every(Millis(1), sender);
    ticks.recv_timeout(WAIT_TIMEOUT).unwrap();
    drop(timer);
    while ticks.recv_timeout(WAIT_TIMEOUT).is_ok() {}
    assert_eq!(ticks.try_recv(), Err(mpsc::TryRecvError::Disconnected));
}
