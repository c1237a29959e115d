//! Looks up lines of a history.

use std::collections::HashMap;

use godwitspool_types::{KeyDigest, Millis, RequestId};

use crate::{Event, History, Line, Work};

/// Lines by what they are about.
#[derive(Debug, Default)]
pub(crate) struct Index<'a> {
    /// Times in which news of the configuration was held up, by start and end.
    cut_off: Vec<(Millis, Millis)>,
    /// Acceptances of keys.
    pub(crate) issued: HashMap<KeyDigest, &'a Line>,
    /// Callers' lines after the sending, by request.
    pub(crate) outcomes: HashMap<RequestId, Vec<&'a Line>>,
    /// Targets' lines of getting a request, by what it asks.
    pub(crate) received: HashMap<Work, Vec<&'a Line>>,
    /// Sendings by what they ask.
    asked: HashMap<Work, Vec<Millis>>,
    /// Sendings, in order of time.
    pub(crate) sent: Vec<&'a Line>,
    /// Withdrawals of keys, from when they were accepted.
    pub(crate) withdrawn: HashMap<KeyDigest, &'a Line>,
    /// Withdrawals of keys, from when they were asked for.
    pub(crate) withdrawing: HashMap<KeyDigest, &'a Line>,
}

impl<'a> Index<'a> {
    pub(crate) fn new(history: &'a History) -> Self {
        let mut index = Self::default();
        let mut held = HashMap::new();
        for line in history.lines() {
            match &line.event {
                Event::Sent { work, .. } => {
                    index.asked.entry(*work).or_default().push(line.at);
                    index.sent.push(line);
                }
                Event::Progress(request)
                | Event::Broken(request)
                | Event::Explained { request, .. } => index.outcome(*request, line),
                Event::Answered { request, .. } | Event::Refused { request, .. } => {
                    index.outcome(*request, line);
                }
                Event::Received { work, .. } => {
                    index.received.entry(*work).or_default().push(line);
                }
                Event::Issued { key, .. } => {
                    index.issued.entry(*key).or_insert(line);
                }
                Event::Withdrawn(key) => {
                    index.withdrawn.entry(*key).or_insert(line);
                }
                Event::Withdrawing(key) => {
                    index.withdrawing.entry(*key).or_insert(line);
                }
                Event::CutOff(dc) => {
                    held.entry(dc.clone()).or_insert(line.at);
                }
                Event::Rejoined(dc) => {
                    if let Some(from) = held.remove(dc) {
                        index.cut_off.push((from, line.at));
                    }
                }
                _ => {}
            }
        }
        index
            .cut_off
            .extend(held.into_values().map(|from| (from, Millis::MAX)));
        index
    }

    /// Returns when a bound that began at a time has passed. While news was held up it doesn't run,
    /// and it begins anew when the news can spread again.
    pub(crate) fn due(&self, from: Millis, bound: Millis) -> Millis {
        let mut due = from + bound;
        let mut spans = self.cut_off.clone();
        spans.sort();
        for (start, end) in spans {
            if start <= due && end > from {
                due = due.max(end + bound);
            }
        }
        due
    }

    /// Returns the lines of a request after its sending.
    pub(crate) fn outcomes(&self, request: RequestId) -> &[&'a Line] {
        self.outcomes.get(&request).map_or(&[], Vec::as_slice)
    }

    /// Returns the lines of targets that got what was asked.
    pub(crate) fn received(&self, work: Work) -> &[&'a Line] {
        self.received.get(&work).map_or(&[], Vec::as_slice)
    }

    /// Returns the lines of targets that got what was asked, from one sending to the next of the
    /// same.
    pub(crate) fn received_after(&self, work: Work, sent: Millis) -> Vec<&'a Line> {
        let again = self
            .asked
            .get(&work)
            .and_then(|all| all.iter().find(|at| **at > sent));
        let end = again.copied().unwrap_or(Millis::MAX);
        let lines = self.received(work).iter().copied();
        lines
            .filter(|line| line.at >= sent && line.at < end)
            .collect()
    }

    fn outcome(&mut self, request: RequestId, line: &'a Line) {
        self.outcomes.entry(request).or_default().push(line);
    }
}
