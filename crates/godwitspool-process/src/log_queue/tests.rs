#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{os::fd::OwnedFd, sync::mpsc::TryRecvError};

use rustix::pipe::pipe;

use super::*;

/// Fills a pipe until it takes nothing more.
fn fill(pipe: &OwnedFd) {
    while is_writable(pipe) {
        rustix::io::write(pipe, &[b'\n'; DIRECT_BYTES]).unwrap();
    }
}

/// Reads what stands in a pipe until `end` ends it.
fn read_to(pipe: &OwnedFd, end: &str) -> String {
    let mut text = Vec::new();
    while !text.ends_with(end.as_bytes()) {
        let mut bytes = [0; 4_096];
        let count = rustix::io::read(pipe, &mut bytes).unwrap();
        text.extend_from_slice(&bytes[..count]);
    }
    String::from_utf8(text).unwrap()
}

#[test]
fn a_line_is_written_at_once_while_the_output_takes_it() {
    let (reader, writer) = pipe().unwrap();
    let (lines, receiver) = Lines::new(writer);
    lines.send("line".to_owned());
    assert_eq!(read_to(&reader, "\n"), "line\n");
    assert!(receiver.try_recv().is_err(), "nothing waits");
}

#[test]
fn a_full_pipe_drops_lines_and_holds_nobody_up() {
    let (_reader, writer) = pipe().unwrap();
    fill(&writer);
    let (lines, _receiver) = Lines::new(writer);
    for number in 0..3 * QUEUE_LINES {
        lines.send(format!("line {number}"));
    }
    let dropped = lines.dropped.load(Ordering::SeqCst);
    assert_eq!(dropped, 2 * QUEUE_LINES as u64, "the queue holds the rest");
}

#[test]
fn lines_that_waited_keep_their_order() {
    let (reader, writer) = pipe().unwrap();
    fill(&writer);
    let output = writer.try_clone().unwrap();
    let (lines, receiver) = Lines::new(writer);
    lines.send("first".to_owned());
    let (dropped, waiting) = (Arc::clone(&lines.dropped), Arc::clone(&lines.waiting));
    let thread = thread::spawn(move || {
        write_lines(&receiver, &dropped, &waiting, std::fs::File::from(output));
    });
    lines.send("second".to_owned());
    assert!(read_to(&reader, "second\n").ends_with("first\nsecond\n"));
    while lines.waiting.load(Ordering::SeqCst) > 0 {
        thread::yield_now();
    }
    lines.send("third".to_owned());
    assert_eq!(read_to(&reader, "third\n"), "third\n");
    drop(lines);
    assert!(thread.join().is_ok());
}

#[test]
fn warnings_are_the_last_to_go() {
    let mut limit = LineLimit::default();
    let mut written = |level| (0..5_000).filter(|_| limit.admit("kind", level, 1)).count();
    assert!(written(Level::Info) < 5_000);
    assert!(
        written(Level::Warn) > 0,
        "warnings pass after the others are used up"
    );
}

#[test]
fn dropped_lines_are_told() {
    let (_reader, writer) = pipe().unwrap();
    let (lines, receiver) = Lines::new(writer);
    lines.dropped.store(7, Ordering::SeqCst);
    lines.send("line".to_owned());
    let (dropped, waiting) = (Arc::clone(&lines.dropped), Arc::clone(&lines.waiting));
    drop(lines);
    let mut output = Vec::new();
    write_lines(&receiver, &dropped, &waiting, &mut output);
    let text = String::from_utf8_lossy(&output).into_owned();
    assert_eq!(text, "line\nlevel=warn message=\"lines dropped\" count=7\n");
}

#[test]
fn a_flush_ends_once_what_waited_is_written() {
    let (_reader, writer) = pipe().unwrap();
    fill(&writer);
    let (lines, receiver) = Lines::new(writer);
    lines.send("last".to_owned());
    let (done, written) = sync_channel(0);
    assert!(lines.sender.try_send(Entry::Flush(done)).is_ok());
    assert_eq!(written.try_recv(), Err(TryRecvError::Empty));
    let (dropped, waiting) = (Arc::clone(&lines.dropped), Arc::clone(&lines.waiting));
    drop(lines);
    let mut output = Vec::new();
    write_lines(&receiver, &dropped, &waiting, &mut output);
    assert_eq!(output, b"last\n");
    assert_eq!(written.try_recv(), Err(TryRecvError::Disconnected));
}
