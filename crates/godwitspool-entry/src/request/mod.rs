//! What lives for one request.

pub(crate) mod authorize;
pub(crate) mod generation;
pub(crate) mod peers;
pub(crate) mod plain;
pub(crate) mod refusal;
pub(crate) mod route;
