//! Messages between entries on the interactive path.

use serde::{Deserialize, Serialize};

/// Asks another entry on the interactive path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ServingRequest {
    /// Asks whether the other entry is there.
    Probe,
}

/// Answers another entry on the interactive path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ServingAnswer {
    /// The entry is there.
    Here,
}
