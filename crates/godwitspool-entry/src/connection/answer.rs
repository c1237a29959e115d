//! Answers to callers.

use std::{
    fmt,
    io::{self, Write},
    sync::Arc,
};

use godwitspool_types::RequestId;
use serde::Serialize;
use tiny_http::{Header, Request, Response};

use crate::{process::shared::Shared, request::refusal::Refusal};

/// Refuses a request that has no identity yet, under a random one.
pub(crate) fn refuse(request: Request, refusal: &Refusal) {
    refuse_with_id(request, refusal, RequestId::random());
}

/// Refuses a request that already has an identity.
pub(crate) fn refuse_with_id(request: Request, refusal: &Refusal, id: RequestId) {
    log::info!(request:% = id, reason = refusal.code(); "refused");
    let body = error_body(refusal, id);
    let mut response = Response::from_string(body.to_string())
        .with_status_code(refusal.status())
        .with_header(header("Content-Type", "application/json"))
        .with_header(header("X-Request-Id", &id.to_string()));
    if let Some(seconds) = refusal.retry_after_s() {
        response.add_header(header("Retry-After", &seconds.to_string()));
    }
    if let Err(error) = request.respond(response) {
        log::debug!("caller left before its refusal was sent: {error}");
    }
}

/// Returns a header. A value that HTTP doesn't allow becomes empty.
pub(crate) fn header(name: &'static str, value: &str) -> Header {
    Header::from_bytes(name, value)
        .or_else(|()| Header::from_bytes(name, ""))
        .unwrap_or_else(|()| unreachable!("header name {name:?} is a constant"))
}

/// Writes server-sent events as a chunked HTTP response and flushes after each event.
pub(crate) struct EventWriter {
    writer: Box<dyn Write + Send>,
}

impl fmt::Debug for EventWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EventWriter").finish_non_exhaustive()
    }
}

impl EventWriter {
    /// Sends the status line and the headers.
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

    /// Sends the terminator `[DONE]` and ends the answer.
    pub(crate) fn finish(mut self) -> io::Result<()> {
        self.send_text("[DONE]")?;
        self.end()
    }

    /// Sends an error event and ends the answer without the terminator.
    ///
    /// `tiny_http` keeps the connection open, so only the end of the body shows the caller that the
    /// answer has ended.
    pub(crate) fn fail(mut self, event: &impl Serialize) -> io::Result<()> {
        self.send(event)?;
        self.end()
    }

    fn end(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    fn send_text(&mut self, text: &str) -> io::Result<()> {
        let length = text.len() + "data: \n\n".len();
        write!(self.writer, "{length:x}\r\ndata: {text}\n\n\r\n")?;
        self.writer.flush()
    }
}

/// Sends the answer to one request.
///
/// Until something has been sent, a refusal is a separate response. Afterwards the answer is a
/// stream, which ends with the terminator or with an error event.
#[derive(Debug)]
pub(crate) struct Responder {
    id: RequestId,
    request: Option<Request>,
    shared: Arc<Shared>,
    writer: Option<EventWriter>,
}

impl Responder {
    pub(crate) fn new(request: Request, id: RequestId, shared: Arc<Shared>) -> Self {
        Self {
            id,
            request: Some(request),
            shared,
            writer: None,
        }
    }

    /// Sends one event. The first event starts the stream.
    pub(crate) fn send(&mut self, event: &impl Serialize) -> io::Result<()> {
        if let Some(request) = self.request.take() {
            self.writer = Some(EventWriter::start(request, self.id)?);
        }
        match &mut self.writer {
            Some(writer) => writer.send(event),
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Ends a complete answer with the terminator.
    pub(crate) fn finish(&mut self) {
        if let Some(writer) = self.writer.take()
            && let Err(error) = writer.finish()
        {
            log::debug!(request:% = self.id; "caller left: {error}");
        }
    }

    /// Refuses the request. A stream that has started ends with an error event and no terminator.
    pub(crate) fn refuse(&mut self, refusal: &Refusal) {
        self.shared.serving.record_refusal(self.id, refusal);
        if let Some(request) = self.request.take() {
            refuse_with_id(request, refusal, self.id);
        } else if let Some(writer) = self.writer.take()
            && let Err(error) = writer.fail(&error_body(refusal, self.id))
        {
            log::debug!(request:% = self.id; "caller left: {error}");
        }
    }
}

fn error_body(refusal: &Refusal, id: RequestId) -> serde_json::Value {
    serde_json::json!({ "error": {
        "message": refusal.to_string(),
        "ran": refusal.ran(),
        "reason": refusal.code(),
        "request": id,
    }})
}
