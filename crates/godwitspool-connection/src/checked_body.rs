//! A request body whose last byte is sent only if a check passes.

use std::io::{self, Read};

use serde::Serialize;

/// A JSON body whose last byte is read only after `may_send` returned true.
///
/// A process that is paused while it sends may have lost its lease when it resumes. The request
/// then stays incomplete, so the platform doesn't act on it.
pub(crate) struct CheckedBody<'a> {
    bytes: Vec<u8>,
    position: usize,
    may_send: &'a dyn Fn() -> bool,
    withheld: bool,
}

impl<'a> CheckedBody<'a> {
    pub(crate) fn new(body: &impl Serialize, may_send: &'a dyn Fn() -> bool) -> Self {
        Self {
            // The platform's types always serialize to JSON; the platform would refuse an empty
            // body.
            bytes: serde_json::to_vec(body).unwrap_or_default(),
            position: 0,
            may_send,
            withheld: false,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn is_withheld(&self) -> bool {
        self.withheld
    }
}

impl Read for CheckedBody<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let last = self.bytes.len().saturating_sub(1);
        if self.position < last {
            let end = last.min(self.position + buffer.len());
            let part = &self.bytes[self.position..end];
            buffer[..part.len()].copy_from_slice(part);
            self.position = end;
            return Ok(part.len());
        }
        if self.position == self.bytes.len() || buffer.is_empty() {
            return Ok(0);
        }
        if !(self.may_send)() {
            self.withheld = true;
            return Err(io::Error::other("check before the last byte failed"));
        }
        buffer[0] = self.bytes[self.position];
        self.position += 1;
        Ok(1)
    }
}
