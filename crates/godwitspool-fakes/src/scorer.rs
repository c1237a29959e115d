//! A fake service that scores samples.

use std::{io, net::SocketAddr, thread, time::Duration};

use serde::{Deserialize, Serialize};
use tiny_http::Request;

use crate::server::{HttpServer, read_body, read_json, respond_json, respond_status};

const HTTP_WORKERS: usize = 8;

/// Body of a `POST /score` request, which asks for the score of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ScoreRequest {
    /// Identifier of the sample, repeated in the response.
    pub sample: String,
    /// Tokens of the answer.
    pub tokens: Vec<String>,
}

/// Response to a [`ScoreRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ScoreResponse {
    /// Identifier of the sample.
    pub sample: String,
    /// Score from 0 to 1.
    pub score: f64,
}

/// Scores answers by a hash of their tokens, so that the same tokens get the same score.
///
/// ```
/// use std::net::SocketAddr;
///
/// use godwitspool_fakes::Scorer;
///
/// let scorer = Scorer::start(SocketAddr::from(([127, 0, 0, 1], 0)), 1)?;
/// assert_ne!(scorer.address().port(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct Scorer {
    address: SocketAddr,
    _server: HttpServer,
}

impl Scorer {
    /// Starts a scorer that delays each response by `delay_ms`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub fn start(listen: SocketAddr, delay_ms: u64) -> io::Result<Self> {
        let server = HttpServer::start(listen, HTTP_WORKERS, move |request| {
            thread::sleep(Duration::from_millis(delay_ms));
            score(request);
        })?;
        Ok(Self {
            address: server.address(),
            _server: server,
        })
    }

    /// Returns the address that the scorer listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn score(mut request: Request) {
    let body = read_body(&mut request);
    match read_json::<ScoreRequest>(&body) {
        Ok(params) => {
            let bytes = params.tokens.concat();
            let score = rapidhash::v3::rapidhash_v3(bytes.as_bytes()) as f64 / u64::MAX as f64;
            respond_json(
                request,
                &ScoreResponse {
                    sample: params.sample,
                    score,
                },
            );
        }
        Err(error) => respond_status(request, 400, &error),
    }
}
