//! Records what callers, trainers, targets and the platform observe, and checks that the system
//! kept its promises.
//!
//! A [`Promise`] is a guarantee whose violation can be observed from outside. The checks don't rely
//! on the system's own processes: every [`Event`] is observed by a caller, a trainer, a target, the
//! platform or an operator.
//!
//! ```
//! use godwitspool_history::{Bounds, Event, History, Work, check};
//! use godwitspool_types::Millis;
//!
//! let mut history = History::default();
//! let key = Some("header authorization".to_owned());
//! history.push(Millis(5), Event::Received { key, target: "t".into(), work: Work::Prompt(1) });
//! let violations = check(&history, &Bounds::default());
//! assert_eq!(violations[0].promise.to_string(), "no target sees a caller's key");
//! ```

mod bounds;
mod check;
mod event;
mod history;
mod index;
mod recorder;
mod violation;

pub use bounds::Bounds;
pub use check::check;
pub use event::{Answer, Event, Group, SampleName, Span, Work};
pub use history::{History, Line, ReadError};
pub use recorder::Recorder;
pub use violation::{Promise, Violation};
