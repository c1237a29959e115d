//! State with the lifetime of one request.

pub(crate) mod admitted;
pub(crate) mod authorize;
pub(crate) mod dispatch;
pub(crate) mod generation;
pub(crate) mod idempotency;
pub(crate) mod journal;
pub(crate) mod peers;
pub(crate) mod plain;
pub(crate) mod quota;
pub(crate) mod refusal;
pub(crate) mod suspicion;
pub(crate) mod work;
