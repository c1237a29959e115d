//! A small HTTP/1.1 server and client, JSON and Base64, with the standard library only.

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is no JSON.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Map(map) => map.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    let word = |at: &mut usize, word: &str, value: Json| {
        bytes[*at..].starts_with(word.as_bytes()).then(|| {
            *at += word.len();
            value
        })
    };
    match bytes.get(*at)? {
        b'n' => word(at, "null", Json::Null),
        b't' => word(at, "true", Json::Bool(true)),
        b'f' => word(at, "false", Json::Bool(false)),
        b'"' => parse_text(bytes, at).map(Json::Text),
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(parse_value(bytes, at)?);
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b',' => *at += 1,
                    b']' => {}
                    _ => return None,
                }
            }
        }
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Map(map));
                }
                let name = parse_text(bytes, at)?;
                skip_space(bytes, at);
                if bytes.get(*at)? != &b':' {
                    return None;
                }
                *at += 1;
                map.insert(name, parse_value(bytes, at)?);
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b',' => *at += 1,
                    b'}' => {}
                    _ => return None,
                }
            }
        }
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        match bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                *at += 1;
                match bytes.get(*at)? {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'b' => text.push(8),
                    b'f' => text.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        let letter = char::from_u32(code).unwrap_or('?');
                        text.extend_from_slice(letter.to_string().as_bytes());
                        *at += 4;
                    }
                    other => text.push(*other),
                }
                *at += 1;
            }
            byte => {
                text.push(*byte);
                *at += 1;
            }
        }
    }
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(
                    LETTERS[(word >> (18 - 6 * index) & 63) as usize],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Header fields of a message.
#[derive(Clone, Debug, Default)]
pub struct Fields(pub Vec<(String, String)>);

impl Fields {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.0.iter();
        let field = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub fields: Fields,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode_percent(value))
    }

    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Reads the head and body of a message: its first line, its fields and its body.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<(String, Fields, Vec<u8>)>> {
    let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let mut piece = [0; 16 * 1024];
    let head = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        let read = stream.read(&mut piece)?;
        if read == 0 {
            return if buffer.is_empty() {
                Ok(None)
            } else {
                Err(ended())
            };
        }
        buffer.extend_from_slice(&piece[..read]);
    };
    let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
    buffer.drain(..head + 4);
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    let fields = Fields(fields.collect());
    let mut body = Vec::new();
    let chunked = fields
        .get("transfer-encoding")
        .is_some_and(|coding| coding == "chunked");
    if chunked {
        loop {
            let line = loop {
                if let Some(at) = buffer.windows(2).position(|two| two == b"\r\n") {
                    let line = String::from_utf8_lossy(&buffer[..at]).into_owned();
                    buffer.drain(..at + 2);
                    break line;
                }
                let read = stream.read(&mut piece)?;
                if read == 0 {
                    return Err(ended());
                }
                buffer.extend_from_slice(&piece[..read]);
            };
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ended())?;
            while buffer.len() < size + 2 {
                let read = stream.read(&mut piece)?;
                if read == 0 {
                    return Err(ended());
                }
                buffer.extend_from_slice(&piece[..read]);
            }
            body.extend_from_slice(&buffer[..size]);
            buffer.drain(..size + 2);
            if size == 0 {
                break;
            }
        }
    } else {
        let length: usize = fields
            .get("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        while buffer.len() < length {
            let read = stream.read(&mut piece)?;
            if read == 0 {
                return Err(ended());
            }
            buffer.extend_from_slice(&piece[..read]);
        }
        body.extend(buffer.drain(..length));
    }
    Ok(Some((first, fields, body)))
}

fn write_fields(out: &mut String, fields: &Fields) {
    for (name, value) in &fields.0 {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
}

/// The connection of a request that a server handles.
pub struct Peer {
    pub stream: TcpStream,
}

impl Peer {
    pub fn respond(
        &mut self,
        status: u16,
        fields: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    pub fn begin(&mut self, status: u16, fields: &[(&str, String)]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} S\r\nTransfer-Encoding: chunked\r\n");
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.stream.write_all(head.as_bytes())
    }

    pub fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.stream.write_all(&chunk)
    }

    /// Returns whether the caller has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let closed = match self.stream.peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        self.stream.set_nonblocking(false).is_err() || closed
    }
}

/// A server with a thread for each connection.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handle: impl Fn(&mut Peer, Request) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let due = Instant::now() + Duration::from_secs(2);
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(error) if Instant::now() > due => return Err(error),
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (own_stopped, own_open) = (Arc::clone(&stopped), Arc::clone(&open));
        let handle = Arc::new(handle);
        thread::spawn(move || {
            while !own_stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    let mut open = own_open.lock().unwrap();
                    open.retain(|known| known.peer_addr().is_ok());
                    open.push(copy);
                }
                let (handle, stopped) = (Arc::clone(&handle), Arc::clone(&own_stopped));
                thread::spawn(move || {
                    let mut peer = Peer { stream };
                    let mut buffer = Vec::new();
                    while !stopped.load(Ordering::SeqCst) {
                        let Ok(Some((first, fields, body))) =
                            read_message(&mut peer.stream, &mut buffer)
                        else {
                            break;
                        };
                        let mut words = first.split(' ');
                        let request = Request {
                            method: words.next().unwrap_or_default().to_owned(),
                            target: words.next().unwrap_or_default().to_owned(),
                            fields,
                            body,
                        };
                        if handle(&mut peer, request).is_err() {
                            break;
                        }
                    }
                    let _ = peer.stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(Self {
            address,
            stopped,
            open,
        })
    }

    /// Closes the listener, and then all connections.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Sends a request on a new connection and waits for the response.
pub fn send(address: SocketAddr, request: &Request, timeout: Duration) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    write_fields(&mut head, &request.fields);
    head.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&request.body);
    // A server may answer before it has read the body.
    let written = stream.write_all(&bytes);
    let mut buffer = Vec::new();
    let read = read_message(&mut stream, &mut buffer);
    let Some((first, _, body)) = read? else {
        written?;
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    Ok(Response {
        status: status.unwrap_or(0),
        body,
    })
}
