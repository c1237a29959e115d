//! A request's body that is checked once more before its last byte.

use std::io::{self, Read};

use serde::Serialize;

/// Gives a JSON body out, all but its last byte first. The last one follows only if the check passes,
/// so a process that was paused while it sent never completes a request that it may no longer make.
pub(crate) struct CheckedBody<'a> {
    bytes: Vec<u8>,
    given: usize,
    may_send: &'a dyn Fn() -> bool,
    refused: bool,
}

impl<'a> CheckedBody<'a> {
    pub(crate) fn new(body: &impl Serialize, may_send: &'a dyn Fn() -> bool) -> Self {
        Self {
            // The platform's types all have a JSON form; an empty body would be refused.
            bytes: serde_json::to_vec(body).unwrap_or_default(),
            given: 0,
            may_send,
            refused: false,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn is_refused(&self) -> bool {
        self.refused
    }
}

impl Read for CheckedBody<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let last = self.bytes.len().saturating_sub(1);
        if self.given < last {
            let end = last.min(self.given + buffer.len());
            let part = &self.bytes[self.given..end];
            buffer[..part.len()].copy_from_slice(part);
            self.given = end;
            return Ok(part.len());
        }
        if self.given == self.bytes.len() || buffer.is_empty() {
            return Ok(0);
        }
        if !(self.may_send)() {
            self.refused = true;
            return Err(io::Error::other("the right to send ended"));
        }
        buffer[0] = self.bytes[self.given];
        self.given += 1;
        Ok(1)
    }
}
