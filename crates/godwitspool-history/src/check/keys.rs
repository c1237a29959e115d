//! Checks of callers' keys.

use godwitspool_types::{KeyDigest, Workspace};

use crate::{Bounds, Event, History, Line, Promise, Violation, index::Index};

/// A request runs only with a valid key of its workspace, except on open routes.
pub(crate) fn isolation(bounds: &Bounds, index: &Index<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for sent in &index.sent {
        let Event::Sent {
            key,
            open: false,
            work,
            workspace,
            ..
        } = &sent.event
        else {
            continue;
        };
        let Some(reason) = invalid_key_reason(sent, *key, workspace, bounds, index) else {
            continue;
        };
        let ran = index.received(*work);
        if !ran.is_empty() {
            let lines = [*sent].into_iter().chain(ran.iter().copied());
            violations.push(Violation::new(Promise::WorkspaceKey, reason, lines));
        }
    }
    violations
}

/// Returns why the key doesn't admit the request; `None` if it does.
fn invalid_key_reason(
    sent: &Line,
    key: Option<KeyDigest>,
    workspace: &Workspace,
    bounds: &Bounds,
    index: &Index<'_>,
) -> Option<String> {
    let Some(key) = key else {
        return Some("a request without a key ran".to_owned());
    };
    let Some(issued) = index.issued.get(&key) else {
        return Some("a request with a key that was never issued ran".to_owned());
    };
    if let Event::Issued {
        workspace: owner, ..
    } = &issued.event
        && owner != workspace
    {
        return Some(format!(
            "a request of {workspace} ran with a key of {owner}"
        ));
    }
    let withdrawn = index.withdrawn.get(&key)?;
    (sent.at > index.deadline(withdrawn.at, bounds.withdrawn))
        .then(|| "a request with a withdrawn key ran".to_owned())
}

/// No target receives a caller's key.
pub(crate) fn hidden(history: &History) -> Vec<Violation> {
    let leaked = history.lines().iter().filter_map(|line| match &line.event {
        Event::Received {
            key: Some(place),
            target,
            ..
        } => {
            let reason = format!("{target} received a key in {place}");
            Some(Violation::new(Promise::KeyHidden, reason, [line]))
        }
        _ => None,
    });
    leaked.collect()
}

/// A withdrawn key stops working within a time limit, for new requests and for answers in progress.
pub(crate) fn withdrawn(bounds: &Bounds, index: &Index<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for sent in &index.sent {
        let Event::Sent {
            key: Some(key),
            open: false,
            request,
            ..
        } = &sent.event
        else {
            continue;
        };
        let Some(withdrawn) = index.withdrawn.get(key) else {
            continue;
        };
        let due = index.deadline(withdrawn.at, bounds.withdrawn);
        let late = index.outcomes(*request).iter().find(|line| {
            let works = matches!(line.event, Event::Progress(_) | Event::Answered { .. });
            works && line.at > due
        });
        if let Some(late) = late {
            let reason = format!(
                "a key still worked {} after its withdrawal",
                late.at - withdrawn.at
            );
            let lines = [*withdrawn, *sent, *late];
            violations.push(Violation::new(Promise::KeyWithdrawn, reason, lines));
        }
    }
    violations
}
