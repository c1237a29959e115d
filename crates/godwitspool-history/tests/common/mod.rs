//! Builds events and histories for the tests.
#![allow(dead_code, reason = "each test file uses only some of the functions")]

use godwitspool_history::{
    Answer, Bounds, Event, Group, History, Promise, SampleName, Span, Work, check,
};
use godwitspool_types::{Key, KeyDigest, Millis, Ran, RequestId, Term};

pub fn key(name: &str) -> KeyDigest {
    Key::from(name).digest()
}

pub fn history(events: impl IntoIterator<Item = (u64, Event)>) -> History {
    let mut history = History::default();
    for (at, event) in events {
        history.push(Millis(at), event);
    }
    history
}

/// Returns the promises that a history breaks.
pub fn broken(events: impl IntoIterator<Item = (u64, Event)>) -> Vec<Promise> {
    let violations = check(&history(events), &Bounds::default());
    for violation in &violations {
        assert!(
            !violation.lines.is_empty(),
            "violation without lines: {violation}"
        );
    }
    let mut promises = violations.into_iter().map(|violation| violation.promise);
    let mut all = promises.by_ref().collect::<Vec<_>>();
    all.dedup();
    all
}

/// Returns a call of workspace `linen` to host `h`, with the key `k`.
pub fn sent(request: u128) -> Event {
    sent_with(request, Some("k"))
}

/// Returns the same call with the key of this name, or without a key.
pub fn sent_with(request: u128, key_name: Option<&str>) -> Event {
    Event::Sent {
        host: "h".into(),
        key: key_name.map(key),
        open: false,
        repeatable: false,
        request: RequestId(request),
        service: "desk".into(),
        work: Work::Call(RequestId(request)),
        workspace: "linen".into(),
    }
}

pub fn issued(name: &str, workspace: &str) -> Event {
    Event::Issued {
        key: key(name),
        workspace: workspace.into(),
    }
}

pub fn received(request: u128) -> Event {
    let work = Work::Call(RequestId(request));
    Event::Received {
        key: None,
        target: "t".into(),
        work,
    }
}

pub fn answered(request: u128) -> Event {
    Event::Answered {
        answer: Answer::Whole,
        request: RequestId(request),
    }
}

pub fn refused(request: u128, key: bool, ran: Ran) -> Event {
    Event::Refused {
        key,
        ran,
        request: RequestId(request),
    }
}

pub fn ordered(host: &str, term: u64) -> Event {
    Event::Ordered {
        host: host.into(),
        order: format!("{host} {term}"),
        term: Term(term),
    }
}

pub fn reported(host: &str, term: u64, window: u64, figures: u64) -> Event {
    Event::Reported {
        figures,
        host: host.into(),
        term: Term(term),
        window,
    }
}

pub fn span(from: u32, to: u32, version: &str) -> Span {
    Span {
        from,
        to,
        version: version.into(),
    }
}

pub fn produced(prompt: u64, span: Span) -> Event {
    Event::Produced {
        span,
        target: "t".into(),
        work: Work::Prompt(prompt),
    }
}

pub fn published(version: &str) -> Event {
    let bounds = vec![("trainer".into(), 1)];
    Event::Published {
        bounds,
        model: "m".into(),
        version: version.into(),
    }
}

pub fn submitted(samples: u32) -> Event {
    let groups = vec![Group { group: 0, samples }];
    Event::Submitted {
        groups,
        step: 1,
        trainer: "trainer".into(),
    }
}

pub fn fetching(fetch: u64) -> Event {
    Event::Fetching {
        fetch,
        step: 1,
        trainer: "trainer".into(),
    }
}

pub fn fetched(fetch: u64) -> Event {
    Event::Fetched {
        fetch,
        step: 1,
        trainer: "trainer".into(),
    }
}

pub fn delivered(fetch: u64, index: u32, prompt: u64, spans: Vec<Span>) -> Event {
    let sample = SampleName {
        trainer: "trainer".into(),
        step: 1,
        group: 0,
        index,
    };
    let work = Work::Prompt(prompt);
    Event::Delivered {
        answer: Answer::Whole,
        fetch,
        sample,
        spans,
        work,
    }
}
