use std::collections::HashMap;

use godwitspool_rollout::Lengths;

use super::Submission;

/// Number of completed items of a route from which on their lengths are used for estimates. The median of
/// so many is within a third of that of all, at the spread of the users' lengths.
const MIN_LENGTHS: u64 = 16;
/// Tokens of an event, until the route's items have shown more: a target sends several tokens at a time.
pub const EVENT_TOKENS: f64 = 4.0;
/// Resolution of the ratio of a length to its hint.
const RATIO_SCALE: f64 = 1_000.0;
/// Expected number of events of an item without a hint, until the route's items have shown more: the
/// users' steps have 10 to 18 on average.
const UNKNOWN_EVENTS: f64 = 15.0;

/// The lengths of completed items, by route, from which the lengths of others are estimated.
///
/// Load pattern: callers estimate the length of an output in tokens. The estimate is right at the median
/// and often far off, so an output that has outgrown its estimate is expected to grow on.
///
/// ```
/// use godwitspool_host::batch::{RouteLengths, Submission};
///
/// let mut lengths = RouteLengths::default();
/// let batch = Submission::default();
/// for _ in 0..95 {
///     lengths.record(&batch, Some(80), 10);
/// }
/// for _ in 0..5 {
///     lengths.record(&batch, Some(80), 100);
/// }
/// assert!(lengths.events_left(&batch, Some(160), 0) < 40.0);
/// assert!(lengths.events_left(&batch, Some(160), 40) > 100.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteLengths {
    routes: HashMap<(String, String), ItemLengths>,
}

/// The lengths of a route's items.
#[derive(Clone, Debug, Default)]
struct ItemLengths {
    /// Numbers of events of items without a hint.
    plain: Lengths,
    /// Numbers of events per token of the hint, times [`RATIO_SCALE`].
    ratios: Lengths,
    /// Numbers of events of all items.
    all: Lengths,
}

impl RouteLengths {
    /// Records the number of events of a complete output.
    pub fn record(&mut self, submission: &Submission, hint: Option<u64>, events: u64) {
        let key = (submission.host.clone(), submission.prefix.clone());
        let route = self.routes.entry(key).or_default();
        route.all.add(events);
        match hint {
            Some(hint) => {
                let ratio = events as f64 / hint.max(1) as f64;
                route.ratios.add((ratio * RATIO_SCALE) as u64);
            }
            None => route.plain.add(events),
        }
    }

    /// Returns how many more events to expect of an item that has had `done`.
    pub fn events_left(&self, submission: &Submission, hint: Option<u64>, done: u64) -> f64 {
        let route = self.route(submission);
        let Some(hint) = hint else {
            let known = route.filter(|route| route.plain.len() >= MIN_LENGTHS);
            return known.map_or(left_of(UNKNOWN_EVENTS, done), |route| {
                route.plain.expected_remaining(done)
            });
        };
        let hint = hint.max(1) as f64;
        let known = route.filter(|route| route.ratios.len() >= MIN_LENGTHS);
        let Some(route) = known else {
            // How many tokens an event has isn't known yet, but which items are long is.
            let mean = submission.items.mean_hint().unwrap_or(hint);
            return left_of(UNKNOWN_EVENTS * hint / mean, done);
        };
        let ratio = (done as f64 / hint * RATIO_SCALE) as u64;
        route.ratios.expected_remaining(ratio) / RATIO_SCALE * hint
    }

    /// Returns the mean number of events of a route's items.
    pub fn usual(&self, submission: &Submission) -> f64 {
        let known = self.route(submission);
        let known = known.filter(|route| route.all.len() >= MIN_LENGTHS);
        known.map_or(UNKNOWN_EVENTS, |route| route.all.mean().max(1.0))
    }

    fn route(&self, submission: &Submission) -> Option<&ItemLengths> {
        // The key of a map can't be borrowed from two texts, and the routes are few.
        let mut routes = self.routes.iter();
        let found = routes
            .find(|((host, prefix), _)| *host == submission.host && *prefix == submission.prefix);
        found.map(|(_, lengths)| lengths)
    }
}

/// Returns what is left of an expected length. An output that has outgrown it is expected to double.
fn left_of(expected: f64, done: u64) -> f64 {
    let done = done as f64;
    if done < expected {
        expected - done
    } else {
        done.max(1.0)
    }
}
