//! The operators' folder: many small files that are joined into one configuration.
//!
//! Files are merged in the order of their names: mappings key by key, lists by appending; any other
//! value is replaced by that of the later file. In a file with a `party`, the names of data
//! centres, services, classes and workspaces belong to that party; the joined configuration calls
//! them `party/name`. A file without a party uses full names.
//!
//! ```
//! use godwitspool_process::folder::{Source, join};
//!
//! let fleet = Source::new("10-fleet.yaml", "dcs: {nyarugenge: {orders: 20/min}}");
//! let studio = Source::new("20-studio.yaml", "
//! party: studio
//! services: {counter-desk: {kind: plain}}
//! workspaces: {weddings: {rate: 40/s, services: {desk: counter-desk}}}
//! ");
//! let folder = join(vec![fleet, studio]).unwrap();
//! let weddings = &folder.configuration.workspaces["studio/weddings"];
//! assert_eq!(weddings.services["desk"].service.as_str(), "studio/counter-desk");
//! ```

mod check;
mod merge;
mod names;
mod read;
mod values;

use std::{fmt, fs, io, path::Path};

use godwitspool_types::{FileName, Finding, Place};
use godwitspool_version::Configuration;

use crate::{
    Findings,
    yaml::{self, Node},
};

/// A file of the folder.
#[derive(Clone, Debug)]
pub struct Source {
    /// Name of the file within the folder; it decides the order of merging.
    pub file: FileName,
    /// Contents of the file, in YAML.
    pub text: String,
}

impl Source {
    /// Creates a file from its name and contents.
    pub fn new(file: impl Into<FileName>, text: impl Into<String>) -> Self {
        Self {
            file: file.into(),
            text: text.into(),
        }
    }
}

/// The joined folder.
#[derive(Clone, Debug)]
pub struct Folder {
    /// The merged configuration.
    pub configuration: Configuration,
    /// Values that a later file replaced, in the order in which they were replaced.
    pub overrides: Vec<Override>,
    /// Entries that never take effect. They don't keep the folder from being published, since folders
    /// in use may have some.
    pub unused: Findings,
}

/// A value that a later file replaced.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Override {
    /// Path of the value, such as `workspaces.studio/weddings.rate`.
    pub path: String,
    /// Place of the value that applies.
    pub winner: Place,
    /// Place of the value that was replaced.
    pub loser: Place,
}

impl fmt::Display for Override {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            path,
            winner,
            loser,
        } = self;
        write!(f, "{path}: {winner} wins over {loser}")
    }
}

/// Loads a folder's `.yaml` and `.yml` files and joins them.
///
/// # Errors
///
/// Returns all findings in all files, or one finding if the folder or a file can't be read or the
/// folder has no such file.
pub fn load(dir: impl AsRef<Path>) -> Result<Folder, Findings> {
    let dir = dir.as_ref();
    join(read_sources(dir).map_err(|error| unreadable(dir, &error))?)
}

/// Joins files that have been read already.
///
/// # Errors
///
/// Returns all findings in all files.
pub fn join(mut sources: Vec<Source>) -> Result<Folder, Findings> {
    sources.sort_by(|one, other| one.file.cmp(&other.file));
    let mut findings = Vec::new();
    let mut files = Vec::new();
    for source in &sources {
        match yaml::parse(&source.file, &source.text) {
            Ok(node) => files.push(names::File::open(&source.file, node, &mut findings)),
            Err(finding) => findings.push(finding),
        }
    }
    let names = names::Names::collect(&files, &mut findings);
    let mut overrides = Vec::new();
    let mut joined = None::<Node>;
    for file in &files {
        let node = names.qualify(file, &mut findings);
        findings.extend(read::read(&node, &names).findings);
        joined = Some(match joined {
            Some(joined) => merge::merge(joined, node, &mut overrides),
            None => node,
        });
    }
    let Some(joined) = joined else {
        return Err(Findings::from(findings));
    };
    let draft = read::read(&joined, &names);
    findings.extend(draft.findings);
    findings.extend(check::check(&draft.configuration, &draft.places));
    let unused = check::unused(&draft.configuration, &draft.places);
    Findings::from(findings).into_result(Folder {
        configuration: draft.configuration,
        overrides,
        unused: Findings::from(unused),
    })
}

fn read_sources(dir: &Path) -> io::Result<Vec<Source>> {
    let mut sources = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        let is_yaml = path
            .extension()
            .is_some_and(|extension| extension == "yaml" || extension == "yml");
        if is_yaml && path.is_file() {
            let text = fs::read_to_string(&path).map_err(|error| {
                io::Error::new(error.kind(), format!("{}: {error}", path.display()))
            })?;
            let file = path.file_name().unwrap_or_default().to_string_lossy();
            sources.push(Source::new(&*file, text));
        }
    }
    if sources.is_empty() {
        return Err(io::Error::new(
            io::ErrorKind::NotFound,
            "no .yaml file in the folder",
        ));
    }
    Ok(sources)
}

fn unreadable(dir: &Path, error: &io::Error) -> Findings {
    let place = Place {
        file: FileName::from(dir.display().to_string()),
        line: 1,
        column: 1,
    };
    let message = format!("can't be read: {error}");
    Findings::from(vec![Finding { place, message }])
}
