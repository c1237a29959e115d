//! HTTP/1.1 for the stand-ins: a server with a thread per connection, and a client.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A message: a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The words of the first line.
    pub start: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn target(&self) -> &str {
        self.start.get(1).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start
            .get(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(own, _)| own.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A query parameter, with percent signs decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(own, _)| *own == name)?;
        let mut bytes = Vec::new();
        let mut rest = value.as_bytes();
        while let Some((first, tail)) = rest.split_first() {
            let code = tail.get(..2).and_then(|two| std::str::from_utf8(two).ok());
            let code = code.and_then(|two| u8::from_str_radix(two, 16).ok());
            match code.filter(|_| *first == b'%') {
                Some(byte) => {
                    bytes.push(byte);
                    rest = &tail[2..];
                }
                None => {
                    bytes.push(*first);
                    rest = tail;
                }
            }
        }
        String::from_utf8(bytes).ok()
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

/// A connection with what was read of it and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        let length = self.stream.read(&mut bytes)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.input.extend_from_slice(&bytes[..length]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.input.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.input.len() < count {
            self.fill()?;
        }
        Ok(self.input.drain(..count).collect())
    }

    /// Reads a message with its body. A response without a length ends with the connection.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = Message::default();
        let start = self.line()?;
        message.start = start.split(' ').map(str::to_owned).collect();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.to_owned(), value.trim().to_owned()));
            }
        }
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if chunked {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
                if size == 0 {
                    self.line()?;
                    return Ok(message);
                }
                let bytes = self.bytes(size)?;
                message.body.extend_from_slice(&bytes);
                self.line()?;
            }
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        if let Some(length) = length {
            message.body = self.bytes(length)?;
        }
        Ok(message)
    }

    /// Sends a complete response.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            bytes.push_str(&format!("{name}: {value}\r\n"));
        }
        bytes.push_str("\r\n");
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Returns whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Serves an address: `handle` gets each request with its connection, and an error closes the connection.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&mut Wire, Message) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(request) = wire.read() {
                    if handle(&mut wire, request).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Encodes a request.
pub fn encode(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and returns the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let due = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    let mut wire = Wire::new(stream);
    wire.stream.set_write_timeout(Some(timeout))?;
    wire.stream
        .write_all(&encode(method, target, headers, body))?;
    let left = due.saturating_duration_since(Instant::now());
    wire.stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    wire.read()
}
