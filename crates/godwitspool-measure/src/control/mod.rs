//! Membership, the log and what is in force: times, bytes and processor time.

mod in_force;
mod log;
mod membership;
mod rig;

pub(crate) use in_force::run as in_force;
pub(crate) use log::run as log;
pub(crate) use membership::run as membership;
