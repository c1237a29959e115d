#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{os::fd::OwnedFd, sync::mpsc::TryRecvError};

use rustix::pipe::pipe;

use super::*;

/// Fills a pipe until it is no longer writable.
fn fill(pipe: &OwnedFd) {
    while is_writable(pipe) {
        rustix::io::write(pipe, &[b'\n'; PIPE_BUF_BYTES]).unwrap();
    }
}

/// Reads from a pipe until the text ends with `end`.
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
fn a_line_is_written_directly_while_the_output_is_writable() {
    let (reader, writer) = pipe().unwrap();
    let (lines, receiver) = LineSink::new(writer);
    lines.send("line".to_owned());
    assert_eq!(read_to(&reader, "\n"), "line\n");
    assert!(receiver.try_recv().is_err(), "nothing is queued");
}

#[test]
fn a_full_pipe_drops_lines_without_blocking() {
    let (_reader, writer) = pipe().unwrap();
    fill(&writer);
    let (lines, _receiver) = LineSink::new(writer);
    for number in 0..3 * QUEUE_CAPACITY {
        lines.send(format!("line {number}"));
    }
    let dropped = lines.dropped.load(Ordering::SeqCst);
    assert_eq!(
        dropped,
        2 * QUEUE_CAPACITY as u64,
        "the queue holds the rest"
    );
}

#[test]
fn queued_lines_keep_their_order() {
    let (reader, writer) = pipe().unwrap();
    fill(&writer);
    let output = writer.try_clone().unwrap();
    let (lines, receiver) = LineSink::new(writer);
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
fn warnings_have_a_limit_of_their_own() {
    let mut limit = LogRateLimit::default();
    let mut written = |level| (0..5_000).filter(|_| limit.admit("kind", level, 1)).count();
    assert!(written(Level::Info) < 5_000);
    assert!(
        written(Level::Warn) > 0,
        "warnings are admitted after the limit on info lines is reached"
    );
}

#[test]
fn dropped_lines_are_reported() {
    let (_reader, writer) = pipe().unwrap();
    let (lines, receiver) = LineSink::new(writer);
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
fn a_flush_ends_once_queued_lines_are_written() {
    let (_reader, writer) = pipe().unwrap();
    fill(&writer);
    let (lines, receiver) = LineSink::new(writer);
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
