//! Prints the state that is in force.

use std::{io::Write, net::SocketAddr};

use godwitspool_types::TargetName;
use godwitspool_version::{Fold, LeaseKind, WindowState};

use crate::{command::LogAccess, daemons, error::CliError};

const MAX_CLOSED_ORDERS: usize = 10;

/// Prints the state that is in force and the status of each daemon.
pub(crate) fn status(
    log: Option<&LogAccess>,
    daemons: &[SocketAddr],
    out: &mut impl Write,
) -> Result<(), CliError> {
    if let Some(log) = log {
        in_force(log.read()?.fold(), out)?;
    }
    for address in daemons {
        daemons::status(*address, out)?;
    }
    if log.is_none() && daemons.is_empty() {
        let message = "--platform URL or --daemon IP:PORT is missing".to_owned();
        return Err(CliError::Arguments { message });
    }
    Ok(())
}

fn in_force(fold: &Fold, out: &mut impl Write) -> Result<(), CliError> {
    writeln!(out, "records      {}", fold.next())?;
    match fold.published() {
        Some(offset) => writeln!(out, "published    at offset {offset}")?,
        None => writeln!(out, "published    never")?,
    }
    for kind in LeaseKind::ALL {
        let name = kind.as_str();
        match fold.lease(kind).holder {
            Some(holder) => {
                let host = &holder.life.host;
                writeln!(
                    out,
                    "lease        {name}: {host} since offset {}",
                    holder.term
                )?;
            }
            None => writeln!(out, "lease        {name}: nobody")?,
        }
    }
    for (model, version) in fold.weights() {
        writeln!(out, "weights      {model}: {version}")?;
    }
    orders(fold, out)?;
    let unreported = fold.windows().unreported().count();
    writeln!(out, "windows      {unreported} frozen and not yet reported")?;
    writeln!(out, "quarantine   {} fingerprints", fold.quarantine().len())?;
    Ok(())
}

fn orders(fold: &Fold, out: &mut impl Write) -> Result<(), CliError> {
    for open in &fold.orders().open {
        let intent = &open.intent;
        writeln!(
            out,
            "order open   {} {} {:?}: {:?}, term {}",
            intent.dc, intent.class, intent.action, intent.reason, intent.term
        )?;
    }
    for closed in fold.orders().closed.iter().rev().take(MAX_CLOSED_ORDERS) {
        let intent = &closed.intent;
        writeln!(
            out,
            "order        {} {} {:?}: {:?}, term {}: {:?}",
            intent.dc, intent.class, intent.action, intent.reason, intent.term, closed.outcome
        )?;
    }
    Ok(())
}

/// Prints the usage windows and their states.
pub(crate) fn usage(log: &LogAccess, out: &mut impl Write) -> Result<(), CliError> {
    let replica = log.read()?;
    let windows = replica.fold().windows();
    writeln!(
        out,
        "{:>10}  {:<8}  {:>5}  {:>10}  missing",
        "window", "state", "seals", "requests"
    )?;
    for (window, state) in &windows.windows {
        let missing = state.frozen.iter().flat_map(|frozen| &frozen.missing);
        let missing: Vec<_> = missing.map(ToString::to_string).collect();
        let requests: u64 = windows.sum(*window).iter().map(|row| row.requests).sum();
        writeln!(
            out,
            "{window:>10}  {:<8}  {:>5}  {requests:>10}  {}",
            window_state(state),
            state.seals.len(),
            missing.join(", ")
        )?;
    }
    Ok(())
}

fn window_state(state: &WindowState) -> &'static str {
    match state {
        WindowState { reported: true, .. } => "reported",
        WindowState {
            frozen: Some(_), ..
        } => "frozen",
        WindowState { seals, .. } if seals.is_empty() => "open",
        WindowState { .. } => "sealed",
    }
}

/// Prints the quarantined fingerprints and the targets that they crashed.
pub(crate) fn quarantine(log: &LogAccess, out: &mut impl Write) -> Result<(), CliError> {
    let replica = log.read()?;
    for (fingerprint, targets) in replica.fold().quarantine() {
        let targets: Vec<_> = targets.iter().map(TargetName::as_str).collect();
        writeln!(out, "{fingerprint:016x}  crashed {}", targets.join(", "))?;
    }
    writeln!(out, "{} fingerprints", replica.fold().quarantine().len())?;
    Ok(())
}
