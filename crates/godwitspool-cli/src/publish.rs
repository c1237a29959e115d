//! Publishes a configuration folder.

use std::{io::Write, path::Path};

use godwitspool_process::folder::{self, Folder};
use godwitspool_version::{Configuration, ConfigurationChange, Publish, Record, RecordBody};
use serde_json::Value;

use crate::{command::LogAccess, difference::difference, error::CliError};

/// Publishes a folder, or with `dry_run` only prints the difference to the configuration in force.
pub(crate) fn publish(
    path: &Path,
    operator: String,
    dry_run: bool,
    log: &LogAccess,
    out: &mut impl Write,
) -> Result<(), CliError> {
    let folder = load(path)?;
    let replica = log.read()?;
    let old = replica.fold().configuration();
    let new = with_keys_in_force(folder.configuration, old);
    let differences = difference(&fields(old), &fields(&new));
    for difference in &differences {
        writeln!(out, "{difference}")?;
    }
    if differences.is_empty() {
        writeln!(out, "nothing differs from what is in force")?;
        return Ok(());
    }
    if dry_run {
        writeln!(
            out,
            "{} fields differ; nothing was published",
            differences.len()
        )?;
        return Ok(());
    }
    let record = Record::new(RecordBody::Publish(Publish {
        base: replica.fold().published(),
        change: ConfigurationChange::between(old, &new),
        operator,
    }));
    log.append(&record)?;
    let outcome = log.wait_for("publish", |fold| fold.outcome(record.id))?;
    if !outcome.counted {
        return Err(CliError::NoEffect {
            what: "publish",
            why: "another publish was first; look at the difference and publish again".to_owned(),
        });
    }
    writeln!(out, "in force from offset {}", outcome.offset)?;
    Ok(())
}

/// Returns the fields of a configuration for a difference.
pub(crate) fn fields(configuration: &Configuration) -> Value {
    serde_json::to_value(configuration).unwrap_or_default()
}

fn load(path: &Path) -> Result<Folder, CliError> {
    folder::load(path).map_err(|findings| CliError::Folder { findings })
}

/// Adds the keys in force that the folder doesn't have, and keeps withdrawn keys withdrawn.
fn with_keys_in_force(mut new: Configuration, old: &Configuration) -> Configuration {
    for (workspace, rules) in &mut new.workspaces {
        let Some(old) = old.workspaces.get(workspace) else {
            continue;
        };
        for key in &old.keys {
            match rules
                .keys
                .iter_mut()
                .find(|other| other.digest == key.digest)
            {
                Some(known) => known.withdrawn |= key.withdrawn,
                None => rules.keys.push(key.clone()),
            }
        }
    }
    new
}
