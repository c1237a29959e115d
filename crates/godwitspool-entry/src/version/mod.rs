//! What lives for one version of the view.

pub(crate) mod feed;
