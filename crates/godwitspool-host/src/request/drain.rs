use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Weight of a shorter duration against the estimate before it, so that one long request keeps the
/// estimate up for some tens of requests.
const DECAY: f64 = 1.0 / 16.0;
/// Number of estimates above which unused ones are dropped: far more than the routes of a
/// configuration that hosts serve at a time.
const MAX_ESTIMATES: usize = 4_096;

/// Estimates how long requests take, by their kind: the longest recent duration, which decays as
/// shorter ones follow.
///
/// ```
/// use std::time::Duration;
///
/// use godwitspool_host::request::DurationEstimates;
///
/// let mut estimates = DurationEstimates::default();
/// estimates.observe("lookup", Duration::from_millis(300));
/// estimates.observe("lookup", Duration::from_millis(20));
/// let expected = estimates.expected("lookup").unwrap();
/// assert!(expected > Duration::from_millis(250));
/// assert_eq!(estimates.expected("other"), None);
/// ```
#[derive(Debug, Default)]
pub struct DurationEstimates(HashMap<String, Duration>);

impl DurationEstimates {
    /// Records the duration of a request.
    pub fn observe(&mut self, kind: &str, took: Duration) {
        if let Some(estimate) = self.0.get_mut(kind) {
            let decayed = estimate.mul_f64(1.0 - DECAY) + took.mul_f64(DECAY);
            *estimate = took.max(decayed);
            return;
        }
        if self.0.len() >= MAX_ESTIMATES {
            // Names of routes come and go with configurations; those in use are soon known again.
            self.0.clear();
        }
        self.0.insert(kind.to_owned(), took);
    }

    /// Returns the expected duration of a request; `None` if none of its kind has been observed.
    pub fn expected(&self, kind: &str) -> Option<Duration> {
        self.0.get(kind).copied()
    }
}

/// Decides whether a request is begun by a process that ends soon.
///
/// Load pattern: a host is stopped while callers send on kept connections, and long uploads end at any
/// moment of the grace period. A request that is begun too late is lost if it may run only once,
/// while one that is refused in time is served by another host.
///
/// `last_answer` is the time by which all answers must be sent, `due` the request's own deadline. A
/// request that reaches its deadline before `last_answer` loses nothing by the end of the process.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use godwitspool_host::request::may_begin;
///
/// let now = Instant::now();
/// let after = |ms| now + Duration::from_millis(ms);
/// let expected = Duration::from_millis(400);
/// assert!(may_begin(now, None, after(60_000), expected));
/// assert!(may_begin(now, Some(after(500)), after(2_000), expected));
/// assert!(!may_begin(now, Some(after(300)), after(2_000), expected));
/// assert!(may_begin(now, Some(after(300)), after(200), expected));
/// ```
pub fn may_begin(
    now: Instant,
    last_answer: Option<Instant>,
    due: Instant,
    expected: Duration,
) -> bool {
    last_answer.is_none_or(|last| due <= last || now + expected <= last)
}
