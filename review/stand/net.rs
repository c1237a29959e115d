//! Minimal HTTP/1.1, JSON and Base64, with the standard library only.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A decoded message: start line, header fields and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// The request target.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or_default()
    }
}

/// Reads one message. Returns `None` if the peer has closed.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = vec![0; 64 * 1024];
    let end = loop {
        if let Some(at) = find(buffer, b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        start: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length: usize = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    while buffer.len() < length {
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let due = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout))?;
    stream.set_nodelay(true)?;
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    let left = due
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_write_timeout(Some(left))?;
    stream.write_all(&bytes)?;
    stream.set_read_timeout(Some(left))?;
    let answer = read_message(&mut stream, &mut Vec::new())?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Sends a request on a new connection and reads an answer in chunks. Returns the status, the body and
/// whether the answer is complete: the last chunk has arrived, or as many bytes as its length says.
pub fn call_stream(
    address: SocketAddr,
    request: &[u8],
    timeout: Duration,
) -> io::Result<(u16, String, bool)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some((status, body, true)) = decode_answer(&bytes) {
            return Ok((status, body, true));
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(read) => bytes.extend_from_slice(&chunk[..read]),
        }
    }
    decode_answer(&bytes).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

fn decode_answer(bytes: &[u8]) -> Option<(u16, String, bool)> {
    let end = find(bytes, b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut rest = &bytes[end + 4..];
    if !head.contains("transfer-encoding: chunked") {
        let length = head.split("content-length:").nth(1)?;
        let length: usize = length.split("\r\n").next()?.trim().parse().ok()?;
        let body = String::from_utf8_lossy(&rest[..length.min(rest.len())]).into_owned();
        return Some((status, body, rest.len() >= length));
    }
    let mut body = Vec::new();
    while let Some(line) = find(rest, b"\r\n") {
        let size = std::str::from_utf8(&rest[..line]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        rest = &rest[line + 2..];
        if size == 0 {
            let complete = rest.starts_with(b"\r\n");
            return Some((
                status,
                String::from_utf8_lossy(&body).into_owned(),
                complete,
            ));
        }
        if rest.len() < size + 2 {
            break;
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
    }
    Some((status, String::from_utf8_lossy(&body).into_owned(), false))
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

#[derive(Clone, Debug, Default)]
pub enum Json {
    #[default]
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

impl Json {
    pub fn parse(bytes: &[u8]) -> Self {
        let text: Vec<char> = String::from_utf8_lossy(bytes).chars().collect();
        let mut at = 0;
        value(&text, &mut at)
    }

    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Object(fields) => fields
                .iter()
                .find(|(n, _)| n == name)
                .map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

fn skip(text: &[char], at: &mut usize) {
    while *at < text.len() && text[*at].is_whitespace() {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Json {
    skip(text, at);
    match text.get(*at) {
        Some('{') => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at) {
                    Some('"') => {}
                    Some(',') => {
                        *at += 1;
                        continue;
                    }
                    _ => {
                        *at += 1;
                        return Json::Object(fields);
                    }
                }
                let name = string(text, at);
                skip(text, at);
                *at += 1;
                fields.push((name, value(text, at)));
            }
        }
        Some('[') => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at) {
                    Some(',') => *at += 1,
                    Some(']') | None => {
                        *at += 1;
                        return Json::List(list);
                    }
                    _ => list.push(value(text, at)),
                }
            }
        }
        Some('"') => Json::Text(string(text, at)),
        _ => {
            let from = *at;
            while *at < text.len() && !",]} \n\r\t".contains(text[*at]) {
                *at += 1;
            }
            let word: String = text[from..*at].iter().collect();
            match word.as_str() {
                "true" | "false" => Json::Bool,
                _ => word.parse().map_or(Json::Null, Json::Number),
            }
        }
    }
}

fn string(text: &[char], at: &mut usize) -> String {
    *at += 1;
    let mut out = String::new();
    while *at < text.len() && text[*at] != '"' {
        if text[*at] == '\\' {
            *at += 1;
            match text.get(*at) {
                Some('n') => out.push('\n'),
                Some('t') => out.push('\t'),
                Some('r') => out.push('\r'),
                Some('u') => {
                    let digits: String = text.iter().skip(*at + 1).take(4).collect();
                    let code = u32::from_str_radix(&digits, 16).unwrap_or(63);
                    out.push(char::from_u32(code).unwrap_or('?'));
                    *at += 4;
                }
                Some(other) => out.push(*other),
                None => {}
            }
        } else {
            out.push(text[*at]);
        }
        *at += 1;
    }
    *at += 1;
    out
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..group.len()].copy_from_slice(group);
        let word = u32::from(three[0]) << 16 | u32::from(three[1]) << 8 | u32::from(three[2]);
        for digit in 0..4 {
            if digit <= group.len() {
                out.push(char::from(DIGITS[(word >> (18 - 6 * digit)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
