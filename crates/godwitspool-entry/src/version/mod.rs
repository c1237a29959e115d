//! State with the lifetime of one version of the view.

pub(crate) mod feed;
