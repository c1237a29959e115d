//! Checks of samples.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use godwitspool_types::{Millis, TrainerName, WeightVersion};

use crate::{
    Bounds, Event, History, Line, Promise, SampleName, Span, Violation, Work, index::Index,
};

/// Each sample names the weight versions that truly produced it.
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
        let truth = produced.get(work).map_or(&[][..], Vec::as_slice);
        if let Some(reason) = wrong_span(spans, truth) {
            let lines = [line]
                .into_iter()
                .chain(truth.iter().map(|(line, _)| *line));
            let reason = format!("{sample} {reason}");
            violations.push(Violation::new(Promise::SampleVersions, reason, lines));
        }
    }
    violations
}

/// Finds a token whose named version didn't produce it on any target.
fn wrong_span(named: &[Span], truth: &[(&Line, &Span)]) -> Option<String> {
    if named.is_empty() {
        return Some("names no version".to_owned());
    }
    for span in named {
        let mut next = span.from;
        while next < span.to {
            let reach = truth
                .iter()
                .map(|(_, produced)| *produced)
                .filter(|produced| produced.version == span.version)
                .filter(|produced| produced.from <= next && next < produced.to)
                .map(|produced| produced.to)
                .max();
            let Some(reach) = reach else {
                return Some(format!("names {} for token {next}", span.version));
            };
            next = reach;
        }
    }
    None
}

/// No sample is older than the staleness bound when its batch is fetched for the first time.
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
                let in_force = index.due(line.at, bounds.in_force);
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
                let begun = fetching
                    .get(&(&sample.trainer, *fetch))
                    .copied()
                    .unwrap_or(line.at);
                let versions = published
                    .get(&sample.trainer)
                    .map_or(&[][..], Vec::as_slice);
                if let Some(reason) = too_old(spans, versions, begun) {
                    let reason = format!("{sample} {reason}");
                    violations.push(Violation::new(Promise::SampleStaleness, reason, [line]));
                }
            }
            _ => {}
        }
    }
    violations
}

fn too_old(
    spans: &[Span],
    versions: &[(Millis, &WeightVersion, u32)],
    begun: Millis,
) -> Option<String> {
    let newest = versions
        .iter()
        .rposition(|(in_force, ..)| *in_force <= begun)?;
    let bound = versions[newest].2 as usize;
    for span in spans {
        let age = versions
            .iter()
            .rposition(|(_, version, _)| **version == span.version);
        // A version that was never published is caught by the check of versions.
        let age = newest.saturating_sub(age.unwrap_or(newest));
        if age > bound {
            return Some(format!("is {age} versions old, the bound is {bound}"));
        }
    }
    None
}

/// What a trainer got of a sample.
struct Got<'a> {
    fetch: u64,
    line: &'a Line,
    work: Work,
}

/// Each sample reaches its trainer exactly once.
pub(crate) fn once(history: &History) -> Vec<Violation> {
    let mut submitted = BTreeMap::new();
    let mut got = BTreeMap::<&SampleName, Vec<Got<'_>>>::new();
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
                got.entry(sample).or_default().push(Got {
                    fetch: *fetch,
                    line,
                    work: *work,
                });
            }
            _ => {}
        }
    }
    let mut violations = repeated(&got);
    for line in history.lines() {
        if let Event::Fetched {
            fetch,
            step,
            trainer,
        } = &line.event
        {
            let step = (trainer, *step);
            violations.extend(missing(line, submitted.get(&step), step, *fetch, &got));
        }
    }
    violations
}

/// Finds samples of a step that a fetch of its whole batch didn't bring.
fn missing<'a>(
    line: &'a Line,
    submitted: Option<&(&'a Line, &'a Vec<crate::Group>)>,
    (trainer, step): (&TrainerName, u64),
    fetch: u64,
    got: &BTreeMap<&SampleName, Vec<Got<'a>>>,
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
            let gots = got.get(&sample).map_or(&[][..], Vec::as_slice);
            if !gots.iter().any(|got| got.fetch == fetch) {
                let reason = format!("{sample} is missing in the batch");
                let lines = [*submission, line];
                violations.push(Violation::new(Promise::SampleOnce, reason, lines));
            }
        }
    }
    violations
}

/// Finds samples that came twice in one fetch, changed between fetches, or share a generation.
fn repeated(got: &BTreeMap<&SampleName, Vec<Got<'_>>>) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut owners = HashMap::<Work, (&SampleName, &Line)>::new();
    for (sample, gots) in got {
        let mut fetches = BTreeMap::<u64, &Line>::new();
        for got in gots {
            if let Some(earlier) = fetches.insert(got.fetch, got.line) {
                let reason = format!("{sample} came twice in one batch");
                let lines = [earlier, got.line];
                violations.push(Violation::new(Promise::SampleOnce, reason, lines));
            }
            if got.work != gots[0].work {
                let reason = format!("{sample} changed between two fetches");
                let lines = [gots[0].line, got.line];
                violations.push(Violation::new(Promise::SampleOnce, reason, lines));
            }
        }
        let (owner, line) = *owners.entry(gots[0].work).or_insert((sample, gots[0].line));
        if owner != *sample {
            let reason = format!("{owner} and {sample} are the same generation");
            let lines = [line, gots[0].line];
            violations.push(Violation::new(Promise::SampleOnce, reason, lines));
        }
    }
    violations
}
