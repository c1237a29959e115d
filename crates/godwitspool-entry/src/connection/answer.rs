//! Answers to callers.

use std::io::{self, Write};

use godwitspool_types::RequestId;
use serde::Serialize;
use tiny_http::{Header, Request, Response};

use crate::request::refusal::Refusal;

/// Writes a refusal.
pub(crate) fn refuse(request: Request, refusal: &Refusal) {
    refuse_as(request, refusal, RequestId::random());
}

/// Writes a refusal of a request that already has an identity.
pub(crate) fn refuse_as(request: Request, refusal: &Refusal, id: RequestId) {
    log::info!(request:% = id, reason = refusal.code(); "refused");
    let body = serde_json::json!({ "error": {
        "message": refusal.to_string(),
        "ran": refusal.ran(),
        "reason": refusal.code(),
        "request": id,
    }});
    let mut response = Response::from_string(body.to_string())
        .with_status_code(refusal.status())
        .with_header(header("Content-Type", "application/json"))
        .with_header(header("X-Request-Id", &id.to_string()));
    if let Some(seconds) = refusal.retry_after_s() {
        response.add_header(header("Retry-After", &seconds.to_string()));
    }
    if let Err(error) = request.respond(response) {
        log::debug!("caller left before its refusal: {error}");
    }
}

/// Makes a header; a value that HTTP doesn't allow becomes empty.
pub(crate) fn header(name: &'static str, value: &str) -> Header {
    Header::from_bytes(name, value)
        .or_else(|()| Header::from_bytes(name, ""))
        .unwrap_or_else(|()| unreachable!("header name {name:?} is a constant"))
}

/// Writes server-sent events in a chunked answer, each flushed at once.
pub(crate) struct EventWriter {
    writer: Box<dyn Write + Send>,
}

impl EventWriter {
    /// Sends the head of the answer.
    pub(crate) fn start(request: Request, id: RequestId) -> io::Result<Self> {
        let mut writer = request.into_writer();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
             X-Request-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Sends one event.
    pub(crate) fn send(&mut self, event: &impl Serialize) -> io::Result<()> {
        let json = serde_json::to_string(event)?;
        self.send_text(&json)
    }

    /// Sends the terminator and ends the answer.
    pub(crate) fn finish(mut self) -> io::Result<()> {
        self.send_text("[DONE]")?;
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    fn send_text(&mut self, text: &str) -> io::Result<()> {
        let length = text.len() + "data: \n\n".len();
        write!(self.writer, "{length:x}\r\ndata: {text}\n\n\r\n")?;
        self.writer.flush()
    }
}
