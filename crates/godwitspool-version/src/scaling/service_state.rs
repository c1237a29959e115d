//! Observations of the work for a service in a data centre.

use godwitspool_types::Millis;

use crate::ScalingRules;

/// Weight of a new observation in the moving mean of the time of a sample.
const MEAN_SMOOTHING: f64 = 0.05;

/// Observed work for a service in a data centre.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceState {
    /// Recent maximum of interactive requests, which decays over time.
    pub(super) peak: f64,
    /// Time of a sample, estimated from how fast a backlog shrinks; `None` before the first
    /// estimate.
    sample_ms: Option<f64>,
    /// Training samples running or waiting at the last observation.
    training: u32,
    /// Value lost by waiting work, in price units times milliseconds.
    pub(super) lost_value: u64,
}

impl ServiceState {
    /// Records the work at the end of a time span, during which the service had the given slots.
    pub(super) fn observe(
        &mut self,
        interactive: u32,
        training: u32,
        (slots, elapsed): (u32, Millis),
        rules: &ScalingRules,
    ) {
        let decay = 1.0 - elapsed.0 as f64 / rules.peak_decay.0.max(1) as f64;
        self.peak = (self.peak * decay.max(0.0)).max(f64::from(interactive));
        let finished = self.training.saturating_sub(training);
        let busy = slots.saturating_sub(interactive).min(self.training);
        if finished > 0 && busy > 0 {
            let observed_ms = f64::from(busy) * elapsed.0 as f64 / f64::from(finished);
            let previous_ms = self.sample_ms.unwrap_or(observed_ms);
            self.sample_ms = Some(previous_ms + MEAN_SMOOTHING * (observed_ms - previous_ms));
        }
        self.training = training;
    }

    /// Returns the slots that training needs so that its samples are done within the horizon.
    pub(super) fn training_slots(&self, training: u32, rules: &ScalingRules) -> u32 {
        let sample_ms = self.sample_ms.unwrap_or(rules.initial_sample_time.0 as f64);
        let slots = f64::from(training) * sample_ms / rules.training_horizon.0.max(1) as f64;
        training.min(slots.ceil() as u32)
    }
}
