//! What lives for a version: configuration, log fold, lease terms, target orders, usage windows and
//! weight versions.
//!
//! Everything here is plain data and pure functions. The log's records are folded by offset into
//! one [`Configuration`] and the states beside it; no clock, socket or lock is used.

mod configuration;

pub use configuration::{
    ClassRules, Configuration, DcRules, KeyRule, ServiceKind, ServiceRef, ServiceRules,
    TrainerRules, UnconfirmedKeys, WorkspaceRules,
};
