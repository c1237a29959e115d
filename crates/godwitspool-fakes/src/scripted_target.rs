use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use godwitspool_host::http::{Request, decode_request};
use serde_json::{Value, json};
use socket2::SockRef;

/// Time until a silent connection is closed.
const SILENCE: Duration = Duration::from_secs(20);

/// Bytes that are sent at a time of an answer without end.
const ENDLESS_BYTES: usize = 64 * 1024;

/// What a [`ScriptedTarget`] does behind the bytes of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Ending {
    /// Waits for another request on the connection.
    #[default]
    Keep,
    /// Closes the connection normally.
    Close,
    /// Sends these bytes again and again until the caller closes.
    Endless(&'static [u8]),
    /// Resets the connection.
    Reset,
    /// Sends nothing more.
    Silent,
}

/// The answer to one request: raw bytes, which need not be a response, and how it ends.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Script {
    /// Bytes to send.
    pub bytes: Vec<u8>,
    /// What follows them.
    pub ending: Ending,
}

/// A fake target that sends given bytes in answer to each request.
#[derive(Debug)]
pub struct ScriptedTarget {
    address: SocketAddr,
    name: String,
    service: String,
    requests: Arc<Mutex<Vec<Request>>>,
    stopped: Arc<AtomicBool>,
}

impl ScriptedTarget {
    /// Starts a target. `answer` returns the answer to each request.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub fn start(
        name: &str,
        service: &str,
        answer: impl Fn(&Request) -> Script + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let target = Self {
            address: listener.local_addr()?,
            name: name.to_owned(),
            service: service.to_owned(),
            requests: Arc::default(),
            stopped: Arc::default(),
        };
        let (requests, stopped) = (Arc::clone(&target.requests), Arc::clone(&target.stopped));
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for peer in listener.incoming().flatten() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let (requests, answer) = (Arc::clone(&requests), Arc::clone(&answer));
                thread::spawn(move || {
                    // A caller that closes early ends the connection, which is no fault of the fake.
                    let _ = serve(peer, &requests, answer.as_ref());
                });
            }
        });
        Ok(target)
    }

    /// Returns the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the name of the target.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the target's entry for the store, with the given state and version of a model.
    pub fn entry(&self, state: &str, model: &str, version: u64) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": "north",
            "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": 1, "born": 1,
            "models": [{ "name": model, "version": version }],
        })
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<Request> {
        let requests = self.requests.lock();
        requests.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for ScriptedTarget {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the listener. If it can't be reached, it has ended already.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(
    mut peer: TcpStream,
    requests: &Mutex<Vec<Request>>,
    answer: &(impl Fn(&Request) -> Script + ?Sized),
) -> io::Result<()> {
    peer.set_nodelay(true)?;
    loop {
        let request = read_request(&mut peer)?;
        let script = answer(&request);
        let received = requests.lock();
        received
            .unwrap_or_else(PoisonError::into_inner)
            .push(request);
        peer.write_all(&script.bytes)?;
        match script.ending {
            Ending::Keep => {}
            Ending::Close => return peer.shutdown(Shutdown::Both),
            Ending::Endless(piece) => {
                // Small pieces are sent many at a time, or the fake would be the slow part.
                let pieces = piece.repeat(ENDLESS_BYTES.div_ceil(piece.len()));
                loop {
                    peer.write_all(&pieces)?;
                }
            }
            Ending::Reset => return SockRef::from(&peer).set_linger(Some(Duration::ZERO)),
            Ending::Silent => {
                thread::sleep(SILENCE);
                return Ok(());
            }
        }
    }
}

/// Reads a request with a body of the length that its head states.
fn read_request(peer: &mut TcpStream) -> io::Result<Request> {
    let mut bytes = Vec::new();
    let mut part = [0; 16 * 1024];
    loop {
        let decoded = decode_request(&bytes);
        let decoded = decoded.map_err(|error| io::Error::other(error.to_string()))?;
        if let Some((mut request, head)) = decoded {
            let length = request.headers.get("Content-Length");
            let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            if bytes.len() >= head + length {
                request.body = bytes[head..head + length].to_vec();
                return Ok(request);
            }
        }
        let count = peer.read(&mut part)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&part[..count]);
    }
}
