//! Calls daemons over their operator addresses.

use std::{io::Write, net::SocketAddr, time::Duration};

use serde_json::Value;
use ureq::Agent;

use crate::error::CliError;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Makes daemons drain: they take no new work.
pub(crate) fn drain(daemons: &[SocketAddr], out: &mut impl Write) -> Result<(), CliError> {
    for address in daemons {
        let answer = request(*address, "/drain", true)?;
        let reply = answer.ok_or_else(|| daemon_error(*address, "has nothing to drain"))?;
        writeln!(out, "{address}: {reply}")?;
    }
    Ok(())
}

/// Prints what daemons know of a subject. Fails if none of them knows it.
pub(crate) fn explain(
    subject: &str,
    daemons: &[SocketAddr],
    out: &mut impl Write,
) -> Result<(), CliError> {
    let mut known = false;
    for address in daemons {
        match request(*address, &format!("/explain/{}", encode(subject)), false) {
            Ok(Some(answer)) => {
                known = true;
                writeln!(out, "{address}:\n{answer:#}")?;
            }
            Ok(None) => {}
            Err(error) => writeln!(out, "{error}")?,
        }
    }
    if known {
        return Ok(());
    }
    let (kind, name) = ("subject", subject.to_owned());
    Err(CliError::Unknown { kind, name })
}

/// Prints a daemon's status, or why it couldn't be read.
pub(crate) fn status(address: SocketAddr, out: &mut impl Write) -> Result<(), CliError> {
    match request(address, "/status", false) {
        Ok(answer) => writeln!(out, "{address}:\n{:#}", answer.unwrap_or_default())?,
        Err(error) => writeln!(out, "{error}")?,
    }
    Ok(())
}

/// Calls a daemon; returns `None` when it has no such page.
fn request(address: SocketAddr, path: &str, post: bool) -> Result<Option<Value>, CliError> {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(CALL_TIMEOUT))
        .build();
    let agent = Agent::from(config);
    let url = format!("http://{address}{path}");
    let sent = if post {
        agent.post(&url).send_empty()
    } else {
        agent.get(&url).call()
    };
    let mut answer = sent.map_err(|error| daemon_error(address, &error))?;
    match answer.status().as_u16() {
        200 => {
            let body = answer.body_mut().read_json();
            body.map(Some)
                .map_err(|error| daemon_error(address, &error))
        }
        404 => Ok(None),
        status => Err(daemon_error(address, &format!("status {status}"))),
    }
}

fn daemon_error(address: SocketAddr, reason: &(impl ToString + ?Sized)) -> CliError {
    let reason = reason.to_string();
    CliError::Daemon { address, reason }
}

/// Percent-encodes a name for a path; `/` stays.
fn encode(name: &str) -> String {
    let plain = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(byte);
    name.bytes()
        .map(|byte| match byte {
            byte if plain(&byte) => char::from(byte).to_string(),
            byte => format!("%{byte:02X}"),
        })
        .collect()
}
