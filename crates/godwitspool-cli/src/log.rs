//! Appends records to the platform's log and waits until they are in force.

use std::{
    io::Write,
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::http::{Platform, PlatformApi};
use godwitspool_process::log_reader::{Replica, catch_up};
use godwitspool_types::{Key, KeyDigest, Ran, Workspace};
use godwitspool_version::{Fold, Record, RecordBody};

use crate::{command::LogAccess, error::CliError};

const MAX_APPEND_ATTEMPTS: u32 = 5;
const RETRY_DELAY: Duration = Duration::from_millis(200);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

impl LogAccess {
    fn platform(&self) -> Platform {
        Platform::new(self.platform.clone())
    }

    /// Reads the state that is in force.
    pub(crate) fn read(&self) -> Result<Replica, CliError> {
        Ok(catch_up(self.platform(), self.steward)?)
    }

    /// Appends a record, with retries when the answer is lost or the platform throttles. A second
    /// copy of a record has no effect.
    pub(crate) fn append(&self, record: &Record) -> Result<(), CliError> {
        let (platform, records) = (self.platform(), [record.encode()]);
        let mut attempts = 1;
        loop {
            match platform.append(&records) {
                Ok(_) => return Ok(()),
                Err(error) if attempts == MAX_APPEND_ATTEMPTS => return Err(error.into()),
                Err(error) if error.ran() == Ran::NotRun && !error.is_throttled() => {
                    return Err(error.into());
                }
                Err(_) => attempts += 1,
            }
            thread::sleep(RETRY_DELAY);
        }
    }

    /// Reads the state in force until `select` returns a value, and returns that value.
    pub(crate) fn wait_for<T>(
        &self,
        what: &'static str,
        select: impl Fn(&Fold) -> Option<T>,
    ) -> Result<T, CliError> {
        let started = Instant::now();
        loop {
            if let Some(found) = select(self.read()?.fold()) {
                return Ok(found);
            }
            if started.elapsed() >= IN_FORCE_TIMEOUT {
                let seconds = IN_FORCE_TIMEOUT.as_secs();
                return Err(CliError::NotSeen { what, seconds });
            }
            thread::sleep(RETRY_DELAY);
        }
    }
}

/// Issues a key and prints it; only its digest is stored.
pub(crate) fn issue_key(
    workspace: &Workspace,
    log: &LogAccess,
    out: &mut impl Write,
) -> Result<(), CliError> {
    let replica = log.read()?;
    if !replica
        .fold()
        .configuration()
        .workspaces
        .contains_key(workspace)
    {
        let (kind, name) = ("workspace", workspace.to_string());
        return Err(CliError::Unknown { kind, name });
    }
    let key = Key::random();
    let digest = key.digest();
    let workspace = workspace.clone();
    log.append(&Record::new(RecordBody::KeyIssue {
        digest,
        workspace: workspace.clone(),
    }))?;
    log.wait_for("key", |fold| {
        let rules = fold.configuration().workspaces.get(&workspace)?;
        rules
            .keys
            .iter()
            .any(|key| key.digest == digest)
            .then_some(())
    })?;
    writeln!(out, "key    {}", key.expose())?;
    writeln!(out, "digest {digest}")?;
    writeln!(out, "The key is shown this once; the digest withdraws it.")?;
    Ok(())
}

/// Withdraws a key permanently.
pub(crate) fn withdraw_key(
    digest: KeyDigest,
    log: &LogAccess,
    out: &mut impl Write,
) -> Result<(), CliError> {
    let replica = log.read()?;
    let mut workspaces = replica.fold().configuration().workspaces.iter();
    let owner = workspaces.find(|(_, rules)| rules.keys.iter().any(|key| key.digest == digest));
    let Some((owner, _)) = owner else {
        let (kind, name) = ("key digest", digest.to_string());
        return Err(CliError::Unknown { kind, name });
    };
    log.append(&Record::new(RecordBody::KeyWithdraw { digest }))?;
    log.wait_for("withdrawal", |fold| {
        fold.is_withdrawn(&digest).then_some(())
    })?;
    writeln!(out, "withdrawn for good from {owner}: {digest}")?;
    Ok(())
}

/// Lifts the quarantine of a fingerprint, so that its requests run again.
pub(crate) fn lift_quarantine(
    fingerprint: u64,
    log: &LogAccess,
    out: &mut impl Write,
) -> Result<(), CliError> {
    let replica = log.read()?;
    if !replica.fold().quarantine().contains_key(&fingerprint) {
        let (kind, name) = ("fingerprint", format!("{fingerprint:016x}"));
        return Err(CliError::Unknown { kind, name });
    }
    let record = Record::new(RecordBody::QuarantineLift { fingerprint });
    log.append(&record)?;
    log.wait_for("lift", |fold| fold.outcome(record.id))?;
    writeln!(out, "lifted {fingerprint:016x}")?;
    Ok(())
}
