//! Checks of the samples that trainers got.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use godwitspool_types::{Millis, TrainerName, WeightVersion};

use crate::{
    Bounds, Event, History, Line, Promise, SampleName, Span, Violation, Work, index::Index,
};

/// Each sample names the weight versions that produced its tokens.
pub(crate) fn versions(history: &History) -> Vec<Violation> {
    let mut produced = HashMap::<Work, Vec<(&Line, &Span)>>::new();
    for line in history.lines() {
        if let Event::Produced { span, work, .. } = &line.event {
            produced.entry(*work).or_default().push((line, span));
        }
    }
    let mut violations = Vec::new();
    for line in history.lines() {
        let Event::Delivered {
            sample,
            spans,
            work,
            ..
        } = &line.event
        else {
            continue;
        };
        let actual = produced.get(work).map_or(&[][..], Vec::as_slice);
        if let Some(reason) = wrong_span(spans, actual) {
            let lines = [line]
                .into_iter()
                .chain(actual.iter().map(|(line, _)| *line));
            let reason = format!("{sample} {reason}");
            violations.push(Violation::new(Promise::SampleVersions, reason, lines));
        }
    }
    violations
}

/// Returns why the named spans are wrong: they are empty, or name a version that didn't produce the
/// token on any target.
fn wrong_span(named: &[Span], actual: &[(&Line, &Span)]) -> Option<String> {
    if named.is_empty() {
        return Some("names no version".to_owned());
    }
    for span in named {
        let mut next = span.from;
        while next < span.to {
            let covered = actual
                .iter()
                .map(|(_, produced)| *produced)
                .filter(|produced| produced.version == span.version)
                .filter(|produced| produced.from <= next && next < produced.to)
                .map(|produced| produced.to)
                .max();
            let Some(covered) = covered else {
                return Some(format!(
                    "names {} for token {next}, which it didn't produce",
                    span.version
                ));
            };
            next = covered;
        }
    }
    None
}

/// No sample exceeds its staleness bound when its batch is fetched for the first time.
pub(crate) fn staleness(history: &History, bounds: &Bounds, index: &Index<'_>) -> Vec<Violation> {
    let mut published = BTreeMap::<&TrainerName, Vec<(Millis, &WeightVersion, u32)>>::new();
    let mut fetching = HashMap::<(&TrainerName, u64), Millis>::new();
    let mut seen = BTreeSet::new();
    let mut violations = Vec::new();
    for line in history.lines() {
        match &line.event {
            Event::Published {
                bounds: trainers,
                version,
                ..
            } => {
                // Until this time, the version need not be in force on every host.
                let in_force = index.deadline(line.at, bounds.in_force);
                for (trainer, bound) in trainers {
                    let versions = published.entry(trainer).or_default();
                    versions.push((in_force, version, *bound));
                }
            }
            Event::Fetching { fetch, trainer, .. } => {
                fetching.insert((trainer, *fetch), line.at);
            }
            Event::Delivered {
                fetch,
                sample,
                spans,
                ..
            } if seen.insert(sample) => {
                let fetched_at = fetching
                    .get(&(&sample.trainer, *fetch))
                    .copied()
                    .unwrap_or(line.at);
                let versions = published
                    .get(&sample.trainer)
                    .map_or(&[][..], Vec::as_slice);
                if let Some(reason) = too_old(spans, versions, fetched_at) {
                    let reason = format!("{sample} {reason}");
                    violations.push(Violation::new(Promise::SampleStaleness, reason, [line]));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Returns why a sample is too stale: a span's version is more versions behind the newest one than
/// the bound allows. Only versions that were in force everywhere when the fetch began count as
/// newest.
fn too_old(
    spans: &[Span],
    versions: &[(Millis, &WeightVersion, u32)],
    fetched_at: Millis,
) -> Option<String> {
    let newest = versions
        .iter()
        .rposition(|(in_force, ..)| *in_force <= fetched_at)?;
    let bound = versions[newest].2 as usize;
    for span in spans {
        let age = versions
            .iter()
            .rposition(|(_, version, _)| **version == span.version);
        // A version that was never published is found by `versions`.
        let age = newest.saturating_sub(age.unwrap_or(newest));
        if age > bound {
            return Some(format!("is {age} versions old, the bound is {bound}"));
        }
    }
    None
}

/// A delivery of a sample to its trainer.
struct Delivery<'a> {
    fetch: u64,
    line: &'a Line,
    work: Work,
}

/// Each sample is delivered to its trainer exactly once.
pub(crate) fn once(history: &History) -> Vec<Violation> {
    let mut submitted = BTreeMap::new();
    let mut delivered = BTreeMap::<&SampleName, Vec<Delivery<'_>>>::new();
    for line in history.lines() {
        match &line.event {
            Event::Submitted {
                groups,
                step,
                trainer,
            } => {
                submitted.entry((trainer, *step)).or_insert((line, groups));
            }
            Event::Delivered {
                fetch,
                sample,
                work,
                ..
            } => {
                delivered.entry(sample).or_default().push(Delivery {
                    fetch: *fetch,
                    line,
                    work: *work,
                });
            }
            _ => {}
        }
    }
    let mut violations = repeated(&delivered);
    for line in history.lines() {
        if let Event::Fetched {
            fetch,
            step,
            trainer,
        } = &line.event
        {
            let step = (trainer, *step);
            violations.extend(missing(
                line,
                submitted.get(&step),
                step,
                *fetch,
                &delivered,
            ));
        }
    }
    violations
}

/// Returns a violation for each sample of a step that a fetch of its complete batch didn't deliver.
fn missing<'a>(
    line: &'a Line,
    submitted: Option<&(&'a Line, &'a Vec<crate::Group>)>,
    (trainer, step): (&TrainerName, u64),
    fetch: u64,
    delivered: &BTreeMap<&SampleName, Vec<Delivery<'a>>>,
) -> Vec<Violation> {
    let Some((submission, groups)) = submitted else {
        let reason = format!("step {step} of {trainer} was never submitted");
        return vec![Violation::new(Promise::SampleOnce, reason, [line])];
    };
    let mut violations = Vec::new();
    for group in *groups {
        for index in 0..group.samples {
            let trainer = trainer.clone();
            let sample = SampleName {
                trainer,
                step,
                group: group.group,
                index,
            };
            let deliveries = delivered.get(&sample).map_or(&[][..], Vec::as_slice);
            if !deliveries.iter().any(|delivery| delivery.fetch == fetch) {
                let reason = format!("{sample} is missing in its batch");
                let lines = [*submission, line];
                violations.push(Violation::new(Promise::SampleOnce, reason, lines));
            }
        }
    }
    violations
}

/// Returns a violation for each sample that was delivered twice in one fetch, changed between two
/// fetches, or is the same generation as another sample.
fn repeated(delivered: &BTreeMap<&SampleName, Vec<Delivery<'_>>>) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut owners = HashMap::<Work, (&SampleName, &Line)>::new();
    for (sample, deliveries) in delivered {
        let mut fetches = BTreeMap::<u64, &Line>::new();
        for delivery in deliveries {
            if let Some(earlier) = fetches.insert(delivery.fetch, delivery.line) {
                let reason = format!("{sample} was delivered twice in one fetch");
                let lines = [earlier, delivery.line];
                violations.push(Violation::new(Promise::SampleOnce, reason, lines));
            }
            if delivery.work != deliveries[0].work {
                let reason = format!("{sample} changed between two fetches");
                let lines = [deliveries[0].line, delivery.line];
                violations.push(Violation::new(Promise::SampleOnce, reason, lines));
            }
        }
        let (owner, line) = *owners
            .entry(deliveries[0].work)
            .or_insert((sample, deliveries[0].line));
        if owner != *sample {
            let reason = format!("{owner} and {sample} are the same generation");
            let lines = [line, deliveries[0].line];
            violations.push(Violation::new(Promise::SampleOnce, reason, lines));
        }
    }
    violations
}
