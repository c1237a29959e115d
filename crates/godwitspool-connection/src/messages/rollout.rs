//! Messages between entries on the trainers' path.

use serde::{Deserialize, Serialize};

/// Asks another entry on the trainers' path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RolloutRequest {
    /// Asks whether the other entry is there.
    Probe,
}

/// Answers another entry on the trainers' path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RolloutAnswer {
    /// The entry is there.
    Here,
}
