//! An index of a history's lines.

use std::collections::HashMap;

use godwitspool_types::{KeyDigest, Millis, RequestId};

use crate::{Event, History, Line, Work};

/// Lines of a history by what they refer to.
#[derive(Debug, Default)]
pub(crate) struct Index<'a> {
    /// Start and end of each time in which configuration updates couldn't reach some data centre.
    cut_off: Vec<(Millis, Millis)>,
    /// Lines in which keys were accepted, by key.
    pub(crate) issued: HashMap<KeyDigest, &'a Line>,
    /// Lines of callers after they sent a request, by request.
    pub(crate) outcomes: HashMap<RequestId, Vec<&'a Line>>,
    /// Lines in which targets received requests, by work.
    pub(crate) received: HashMap<Work, Vec<&'a Line>>,
    /// Times at which requests were sent, by work.
    sent_times: HashMap<Work, Vec<Millis>>,
    /// Lines in which requests were sent, in order of time.
    pub(crate) sent: Vec<&'a Line>,
    /// Lines in which withdrawals were accepted, by key.
    pub(crate) withdrawn: HashMap<KeyDigest, &'a Line>,
    /// Lines in which withdrawals were requested, by key.
    pub(crate) withdrawing: HashMap<KeyDigest, &'a Line>,
}

impl<'a> Index<'a> {
    pub(crate) fn new(history: &'a History) -> Self {
        let mut index = Self::default();
        let mut ongoing = HashMap::new();
        for line in history.lines() {
            match &line.event {
                Event::Sent { work, .. } => {
                    index.sent_times.entry(*work).or_default().push(line.at);
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
                    ongoing.entry(dc.clone()).or_insert(line.at);
                }
                Event::Rejoined(dc) => {
                    if let Some(from) = ongoing.remove(dc) {
                        index.cut_off.push((from, line.at));
                    }
                }
                _ => {}
            }
        }
        index
            .cut_off
            .extend(ongoing.into_values().map(|from| (from, Millis::MAX)));
        index
    }

    /// Returns the time at which a limit that started at `from` expires. The limit doesn't run
    /// while configuration updates are cut off, and it starts again when they can spread again.
    pub(crate) fn deadline(&self, from: Millis, bound: Millis) -> Millis {
        let mut deadline = from + bound;
        let mut spans = self.cut_off.clone();
        spans.sort();
        for (start, end) in spans {
            if start <= deadline && end > from {
                deadline = deadline.max(end + bound);
            }
        }
        deadline
    }

    /// Returns the lines of a request after it was sent.
    pub(crate) fn outcomes(&self, request: RequestId) -> &[&'a Line] {
        self.outcomes.get(&request).map_or(&[], Vec::as_slice)
    }

    /// Returns the lines in which targets received this work.
    pub(crate) fn received(&self, work: Work) -> &[&'a Line] {
        self.received.get(&work).map_or(&[], Vec::as_slice)
    }

    /// Returns the lines in which targets received this work after it was sent at `sent` and before
    /// it was sent again.
    pub(crate) fn received_after(&self, work: Work, sent: Millis) -> Vec<&'a Line> {
        let next_sent = self
            .sent_times
            .get(&work)
            .and_then(|all| all.iter().find(|at| **at > sent));
        let end = next_sent.copied().unwrap_or(Millis::MAX);
        let lines = self.received(work).iter().copied();
        lines
            .filter(|line| line.at >= sent && line.at < end)
            .collect()
    }

    fn outcome(&mut self, request: RequestId, line: &'a Line) {
        self.outcomes.entry(request).or_default().push(line);
    }
}
