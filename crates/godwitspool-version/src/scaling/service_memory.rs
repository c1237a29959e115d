//! What the policy remembers of a service in a data centre.

use godwitspool_types::Millis;

use crate::ScalingRules;

/// Weight of a new observation of the samples' time.
const LEARNING: f64 = 0.05;

/// Recent work for a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceMemory {
    /// Highest interactive work lately; it decays.
    pub(super) peak: f64,
    /// Time of a sample, as learnt from how fast a backlog shrinks.
    sample_ms: Option<f64>,
    training: u32,
    /// Worth lost by waiting work, in price units times milliseconds.
    pub(super) waited: u64,
}

impl ServiceMemory {
    /// Notes the work at the end of a span in which there were so many slots.
    pub(super) fn note(
        &mut self,
        interactive: u32,
        training: u32,
        (slots, span): (u32, Millis),
        rules: &ScalingRules,
    ) {
        let kept = 1.0 - span.0 as f64 / rules.peak_decay.0.max(1) as f64;
        self.peak = (self.peak * kept.max(0.0)).max(f64::from(interactive));
        let done = self.training.saturating_sub(training);
        let busy = slots.saturating_sub(interactive).min(self.training);
        if done > 0 && busy > 0 {
            let seen = f64::from(busy) * span.0 as f64 / f64::from(done);
            let known = self.sample_ms.unwrap_or(seen);
            self.sample_ms = Some(known + LEARNING * (seen - known));
        }
        self.training = training;
    }

    /// Returns the slots that training is to get, so that its work is done within the horizon.
    pub(super) fn training_slots(&self, training: u32, rules: &ScalingRules) -> u32 {
        let sample_ms = self.sample_ms.unwrap_or(rules.sample.0 as f64);
        let slots = f64::from(training) * sample_ms / rules.training_horizon.0.max(1) as f64;
        training.min(slots.ceil() as u32)
    }
}
