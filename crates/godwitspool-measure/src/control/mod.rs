//! Measurements of membership and of the log: times, bytes and CPU time.

mod in_force;
mod log;
mod log_host;
mod membership;

pub(crate) use in_force::run as in_force;
pub(crate) use log::run as log;
pub(crate) use membership::run as membership;
