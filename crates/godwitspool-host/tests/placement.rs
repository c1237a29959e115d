//! Replays of steps over targets that differ in speed and are disturbed at times, with the decisions that
//! an owner takes: which item starts, where, and when a run moves.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{collections::HashMap, sync::Arc};

use godwitspool_host::{
    batch::{Batch, Groups, ItemSpec, ItemState, RouteLengths, Submission},
    version::{Fleet, Outcome, PlaceRequest, TargetEntry, Work},
};
use godwitspool_types::{Dc, Millis, ModelName, ServiceName, TargetName};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

const TARGETS: usize = 12;
const SLOTS: u32 = 8;
const TRAINERS: usize = 4;
/// Time between two steps of a trainer, from a submission until it is due, and until the trainer gives up.
const PERIOD_MS: u64 = 4_000;
const DUE_MS: u64 = 7_500;
const GIVE_UP_MS: u64 = 12_000;
/// Mean time between events, at a target's usual load.
const INTERVAL_MS: f64 = 100.0;
const MEAN_EVENTS: f64 = 12.5;
const SEEDS: u64 = 2;
const GROUP_ITEMS: usize = 8;
const TICK_MS: u64 = 20;
const TICKS: u64 = 2_000;
/// A target is disturbed for 2 s of 14 s, in which its events take 2.5 times as long.
const NOISE_FACTOR: f64 = 2.5;

struct Day {
    /// Natural times per event of the targets, in turn, relative to the mean.
    speeds: [f64; 3],
    noise: bool,
    /// Submitted work as a multiple of what the targets can do.
    load: f64,
    /// Whether speeds are observed.
    learns: bool,
    seed: u64,
}

#[derive(Debug, Default)]
struct Outcomes {
    /// Steps of each trainer, and those that were complete when they were due.
    steps: [(f64, f64); TRAINERS],
    /// Groups, and those that were whole when they were due.
    groups: (f64, f64),
    runs: f64,
    moves: f64,
}

impl Outcomes {
    fn whole(&self) -> f64 {
        self.groups.1 / self.groups.0
    }
}

struct Run {
    batch: usize,
    item: usize,
    target: usize,
    progress: f64,
    began: u64,
    last: u64,
}

struct Replay {
    day: Day,
    assigned: HashMap<TargetName, ModelName>,
    fleet: Fleet,
    lengths: RouteLengths,
    batches: Vec<(Batch, Vec<u64>, u64)>,
    runs: Vec<Run>,
    outcomes: Outcomes,
    rng: StdRng,
}

fn name(target: usize) -> TargetName {
    TargetName::from(format!("t{target}"))
}

fn model(trainer: usize) -> ModelName {
    ModelName::from(format!("m{trainer}"))
}

impl Replay {
    fn new(day: Day) -> Self {
        let mut fleet = Fleet::default();
        for target in 0..TARGETS {
            fleet.apply(TargetEntry {
                name: name(target),
                service: ServiceName::from("engine"),
                address: ([127, 0, 0, 1], 80).into(),
                dc: Dc::from("north"),
                slots: SLOTS,
                draining: false,
                models: (0..TRAINERS).map(|trainer| (model(trainer), 1)).collect(),
                born: 1,
                cold_left: Millis::ZERO,
            });
        }
        let models: Vec<ModelName> = (0..TRAINERS).map(model).collect();
        Self {
            assigned: fleet.assign_models(&ServiceName::from("engine"), &models),
            rng: StdRng::seed_from_u64(day.seed),
            day,
            fleet,
            lengths: RouteLengths::default(),
            batches: Vec::new(),
            runs: Vec::new(),
            outcomes: Outcomes::default(),
        }
    }

    /// Returns a factor with this spread whose median is 1.
    fn spread(&mut self, sigma: f64) -> f64 {
        // The sum of twelve numbers is nearly normal.
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 6.0) * sigma).exp()
    }

    fn submit(&mut self, trainer: usize, step: u64, now: u64) {
        let rates = self.day.speeds.iter().map(|speed| 1.0 / speed);
        let slots = f64::from(SLOTS) * TARGETS as f64 * rates.sum::<f64>() / 3.0;
        let items = slots * PERIOD_MS as f64 / INTERVAL_MS / MEAN_EVENTS / TRAINERS as f64;
        let count = (items * self.day.load / GROUP_ITEMS as f64).round() as usize;
        let mut events = Vec::new();
        let mut items = Vec::new();
        for group in 0..count {
            // Items of a group answer the same question, so their lengths are alike.
            let usual = 8.0 * self.spread(0.5);
            for _ in 0..GROUP_ITEMS {
                let length = (usual * self.spread(0.8)).max(1.0) as u64;
                let hint = (length as f64 * 4.0 * self.spread(0.5)).max(1.0) as u64;
                events.push(length);
                items.push(ItemSpec {
                    id: format!("i{}", items.len()),
                    group: format!("g{group}"),
                    hint: Some(hint),
                    ..ItemSpec::default()
                });
            }
        }
        let submission = Submission {
            // Identifiers don't say when a batch came.
            id: format!("{:08x}", self.rng.random::<u32>()),
            model: model(trainer),
            step,
            wanted_groups: (count * 9).div_ceil(10) as u32,
            received_ms: now,
            due_ms: DUE_MS,
            attempts: 3,
            items: items.into(),
            ..Submission::default()
        };
        self.batches
            .push((Batch::new(Arc::new(submission), Vec::new()), events, now));
    }

    fn interval(&self, target: usize, now: u64) -> f64 {
        let disturbed = self.day.noise && (now + target as u64 * 5_100) % 14_000 < 2_000;
        let noise = if disturbed { NOISE_FACTOR } else { 1.0 };
        let running = self.runs.iter().filter(|run| run.target == target).count();
        // A request more makes the others slower; full targets do the most work.
        let loaded = 0.65 + 0.35 * running as f64 / f64::from(SLOTS);
        INTERVAL_MS * self.day.speeds[target % 3] * noise * loaded
    }

    fn advance(&mut self, now: u64) {
        let intervals: Vec<f64> = (0..TARGETS)
            .map(|target| self.interval(target, now))
            .collect();
        let mut ended = Vec::new();
        for (index, run) in self.runs.iter_mut().enumerate() {
            let (batch, events, _) = &mut self.batches[run.batch];
            if batch.ended {
                ended.push(index);
                continue;
            }
            let before = run.progress as u64;
            run.progress += TICK_MS as f64 / intervals[run.target];
            let done = run.progress as u64;
            if done == before {
                continue;
            }
            if self.day.learns && run.last > run.began {
                let interval = (now - run.last) as f64 / (done - before) as f64;
                self.fleet
                    .record_pace(&name(run.target), interval, Millis(now));
            }
            run.last = now;
            for number in before + 1..=done {
                batch.items[run.item].progress.push(number, b"x");
            }
            if done >= events[run.item] {
                let hint = batch.submission.items.view(run.item).unwrap().hint;
                let length = events[run.item];
                self.lengths.record(&batch.submission, hint, length);
                let finished = batch.finish(run.item, true);
                batch.results.push(Arc::new(finished.result));
                ended.push(index);
            }
        }
        for index in ended.into_iter().rev() {
            let run = self.runs.remove(index);
            self.fleet
                .finish(&name(run.target), Outcome::Dropped, Millis(now));
        }
    }

    fn work(&self, batch: &Batch, item: usize) -> Work {
        let hint = batch.submission.items.view(item).unwrap().hint;
        let done = batch.items[item].progress.last_event.unwrap_or_default();
        Work {
            events: self.lengths.events_left(&batch.submission, hint, done),
            usual_events: self.lengths.usual(&batch.submission),
            ..Work::default()
        }
    }

    fn start_items(&mut self, now: u64) {
        let service = ServiceName::from("engine");
        let mut open: Vec<usize> = (0..self.batches.len())
            .filter(|batch| self.batches[*batch].0.is_open())
            .collect();
        open.sort_by_key(|batch| &self.batches[*batch].0.submission.id);
        for index in open {
            'batch: while let Ok(items) = self.batches[index].0.next_items(Millis(now)) {
                for (item, ahead) in items {
                    let batch = &self.batches[index].0;
                    let placed = self.fleet.place(&PlaceRequest {
                        assigned: &self.assigned,
                        dc: &Dc::from("north"),
                        excluded: None,
                        host: 1,
                        model: &batch.submission.model,
                        now: Millis(now),
                        service: &service,
                        versions: &(1..=u64::MAX),
                        work: Work {
                            ahead: ahead.unwrap_or_default(),
                            patient: ahead.is_some(),
                            ..self.work(batch, item)
                        },
                    });
                    let Some(place) = placed else {
                        break 'batch;
                    };
                    let batch = &mut self.batches[index].0;
                    if place.defer && batch.defer(item, Millis(now)) {
                        continue;
                    }
                    batch.start(item);
                    self.fleet.start(&place.target);
                    self.outcomes.runs += 1.0;
                    let target = place.target.as_str()[1..].parse().unwrap();
                    self.runs.push(Run {
                        batch: index,
                        item,
                        target,
                        progress: batch.items[item].progress.last_event.unwrap_or_default() as f64,
                        began: now,
                        last: now,
                    });
                    continue 'batch;
                }
                break;
            }
        }
    }

    /// Ends the steps that are complete or given up, and counts those that are due now.
    fn judge(&mut self, now: u64) {
        for (batch, _, received) in &mut self.batches {
            let submission = Arc::clone(&batch.submission);
            let all = Groups::of(&submission.items);
            let is_whole = |items: &&[u32]| {
                let mut items = items.iter();
                items.all(|item| batch.items[*item as usize].state == ItemState::Done)
            };
            let whole = all.members().filter(is_whole).count();
            let complete = whole >= submission.wanted_groups as usize;
            let age = now - *received;
            if age == DUE_MS || (complete && !batch.ended && age < DUE_MS) {
                let trainer: usize = submission.model.as_str()[1..].parse().unwrap();
                if !batch.ended {
                    let step = &mut self.outcomes.steps[trainer];
                    step.0 += 1.0;
                    step.1 += f64::from(complete);
                    self.outcomes.groups.0 += f64::from(submission.wanted_groups);
                    let counted = whole.min(submission.wanted_groups as usize);
                    self.outcomes.groups.1 += counted as f64;
                }
            }
            batch.ended |= complete || age >= GIVE_UP_MS;
        }
    }

    fn run(mut self) -> Outcomes {
        for tick in 0..TICKS {
            let now = tick * TICK_MS;
            for trainer in 0..TRAINERS {
                if (now + trainer as u64 * 900).is_multiple_of(PERIOD_MS) {
                    self.submit(trainer, now / PERIOD_MS, now);
                }
            }
            self.advance(now);
            self.judge(now);
            self.start_items(now);
        }
        self.outcomes
    }
}

fn replay(speeds: [f64; 3], noise: bool, load: f64, learns: bool) -> Outcomes {
    let day = |seed| Day {
        speeds,
        noise,
        load,
        learns,
        seed,
    };
    let mut sum = Outcomes::default();
    for seed in 0..SEEDS {
        let outcomes = Replay::new(day(seed)).run();
        for (sum, step) in sum.steps.iter_mut().zip(outcomes.steps) {
            *sum = (sum.0 + step.0, sum.1 + step.1);
        }
        sum.groups = (
            sum.groups.0 + outcomes.groups.0,
            sum.groups.1 + outcomes.groups.1,
        );
        sum.runs += outcomes.runs;
        sum.moves += outcomes.moves;
    }
    sum
}

/// Returns the part of the wanted groups that were whole when they were due, without and with knowledge
/// of the targets' speeds.
fn whole_groups(speeds: [f64; 3], noise: bool, load: f64) -> [f64; 2] {
    [false, true].map(|learns| replay(speeds, noise, load, learns).whole())
}

/// Guards against long items that start at targets that are slow by nature, although faster ones will be
/// free soon.
#[rstest]
#[case([0.7, 0.7, 1.7])]
#[case([0.6, 1.0, 1.6])]
fn more_groups_are_whole_in_time_if_the_speeds_are_known(#[case] speeds: [f64; 3]) {
    for load in [1.0, 1.6] {
        let [unknown, known] = whole_groups(speeds, true, load);
        assert!(
            known > unknown + 0.02,
            "{load}: {known:.3} after {unknown:.3}"
        );
    }
}

/// Guards against differences that are found where there are none.
#[test]
fn the_speeds_of_even_targets_change_nothing() {
    let [unknown, known] = whole_groups([1.0; 3], false, 1.0);
    assert!(
        (known - unknown).abs() < 0.01,
        "{known:.3} after {unknown:.3}"
    );
}
