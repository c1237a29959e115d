//! Names, identifiers, times and findings that every crate shares.
//!
//! Names are shared immutable strings: cloning one increments a reference count and allocates
//! nothing. Times are plain milliseconds that the caller passes in; this crate reads no clock.
//!
//! ```
//! use godwitspool_types::{Millis, Workspace};
//!
//! let workspace = Workspace::from("weddings");
//! assert_eq!(workspace.as_str(), "weddings");
//! assert_eq!(Millis(1_500) - Millis(500), Millis(1_000));
//! ```

mod finding;
mod ids;
mod key;
mod millis;
mod names;
mod ran;

pub use finding::{Finding, Place};
pub use ids::{Incarnation, Offset, RequestId, Term};
pub use key::{Key, KeyDigest};
pub use millis::Millis;
pub use names::{
    ClassName, Dc, FileName, HostName, ModelName, ServiceName, TargetName, TrainerName,
    WeightVersion, Workspace,
};
pub use ran::Ran;
