//! Replays of steps over targets that differ in speed and are disturbed at times, with the decisions that
//! an owner takes: which item starts, where, and when a run moves.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{collections::HashMap, sync::Arc};

use godwitspool_host::{
    batch::{
        Batch, ItemSpec, ItemState, Move, Pace, RouteLengths, RunFailure, RunView, StepView,
        Submission, decide_move, groups, may_move, order_steps,
    },
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
const ORDER_MS: u64 = 240;
const SEEDS: u64 = 2;
const GROUP_ITEMS: usize = 8;
const TICK_MS: u64 = 20;
const TICKS: u64 = 2_000;
/// Factor of the time per event of a target that is disturbed.
const NOISE: f64 = 2.5;

#[derive(Clone)]
struct Day {
    /// Natural times per event of the targets, in turn, relative to the mean.
    speeds: [f64; 3],
    /// Factor of the time per event of a target that is disturbed: for 2 s of 14 s.
    noise: f64,
    /// Submitted work as a multiple of what the targets can do.
    load: f64,
    /// Whether speeds are observed.
    learns: bool,
    /// Whether runs move.
    moves: bool,
    /// Whether steps are ordered by when they are due.
    schedules: bool,
    /// Numbers of groups of the trainers' steps relative to the mean.
    sizes: [f64; TRAINERS],
}

#[derive(Debug, Default)]
struct Outcomes {
    /// Steps of each trainer, and those that were complete when they were due.
    steps: [(f64, f64); TRAINERS],
    /// Groups, and those that were whole when they were due.
    groups: (f64, f64),
    runs: f64,
    moves: f64,
    /// Items without a run for 5 s while others of their step ran.
    forgotten: f64,
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
    /// When the last event arrived.
    last: u64,
    pace: Pace,
}

struct Replay {
    day: Day,
    assigned: HashMap<TargetName, ModelName>,
    fleet: Fleet,
    lengths: RouteLengths,
    batches: Vec<(Batch, Vec<u64>, u64)>,
    /// Open batches in the order in which their items start.
    order: Vec<usize>,
    /// Number of each trainer's last steps that were late.
    lost: [u32; TRAINERS],
    runs: Vec<Run>,
    outcomes: Outcomes,
    /// When each item of a step last ran, by the step's identifier.
    idle_since: HashMap<String, Vec<u64>>,
    rng: StdRng,
}

fn name(target: usize) -> TargetName {
    TargetName::from(format!("t{target}"))
}

fn model(trainer: usize) -> ModelName {
    ModelName::from(format!("m{trainer}"))
}

impl Replay {
    fn new(day: Day, seed: u64) -> Self {
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
            rng: StdRng::seed_from_u64(seed),
            day,
            fleet,
            lengths: RouteLengths::default(),
            batches: Vec::new(),
            order: Vec::new(),
            lost: [0; TRAINERS],
            runs: Vec::new(),
            outcomes: Outcomes::default(),
            idle_since: HashMap::new(),
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
        let count =
            (items * self.day.load * self.day.sizes[trainer] / GROUP_ITEMS as f64).round() as usize;
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
            items,
            ..Submission::default()
        };
        self.batches
            .push((Batch::new(Arc::new(submission), Vec::new()), events, now));
    }

    fn interval(&self, target: usize, now: u64) -> f64 {
        let disturbed = (now + target as u64 * 5_100) % 14_000 < 2_000;
        let noise = if disturbed { self.day.noise } else { 1.0 };
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
            if self.day.learns && run.pace.events > 0 {
                let interval = (now - run.last) as f64 / (done - before) as f64;
                self.fleet
                    .record_pace(&name(run.target), interval, Millis(now));
            }
            run.pace
                .push((done - before) as u32, Millis(now - run.last));
            run.last = now;
            for number in before + 1..=done {
                batch.items[run.item].progress.push(number, b"x");
            }
            if done >= events[run.item] {
                let hint = batch.submission.items[run.item].hint;
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
        let hint = batch.submission.items[item].hint;
        let done = batch.items[item].progress.last_event.unwrap_or_default();
        Work {
            events: self.lengths.events_left(&batch.submission, hint, done),
            usual_events: self.lengths.usual(&batch.submission),
            ..Work::default()
        }
    }

    /// Ends the runs that move, as the runner does.
    fn check_moves(&mut self, now: u64) {
        let mut index = 0;
        while index < self.runs.len() {
            if self.check_move(&self.runs[index], now).is_none() {
                index += 1;
                continue;
            }
            let run = self.runs.remove(index);
            self.outcomes.moves += 1.0;
            let now = Millis(now);
            self.fleet.finish(&name(run.target), Outcome::Dropped, now);
            let batch = &mut self.batches[run.batch].0;
            batch.fail(run.item, RunFailure::Moved, now);
        }
    }

    fn check_move(&self, run: &Run, now: u64) -> Option<Move> {
        let batch = &self.batches[run.batch].0;
        let work = self.work(batch, run.item);
        let (speed, median_ms) = self.fleet.speed(&name(run.target), Millis(now))?;
        let view = RunView {
            answering: true,
            silent: Millis(0),
            pace: run.pace,
            median_ms: Some(median_ms),
            moves: batch.items[run.item].moves,
            here_ms: speed.observed(run.pace.interval_ms).run_ms(work.events),
            there_ms: None,
            group_ms: if batch.is_wanted(run.item) {
                batch.group_events_left(run.item, &self.lengths) * median_ms
            } else {
                f64::INFINITY
            },
        };
        if !may_move(&view) {
            return None;
        }
        let there = self.fleet.place(&PlaceRequest {
            assigned: &HashMap::new(),
            dc: &Dc::from("north"),
            excluded: Some(&name(run.target)),
            host: 1,
            model: &batch.submission.model,
            now: Millis(now),
            service: &ServiceName::from("engine"),
            versions: &(1..=u64::MAX),
            work: Work {
                events: work.events + 1.0,
                ..work
            },
        })?;
        let there_ms = Some(there.run_ms);
        decide_move(&RunView { there_ms, ..view })
    }

    fn start_items(&mut self, now: u64) {
        let mut open: Vec<usize> = (0..self.batches.len())
            .filter(|batch| self.batches[*batch].0.is_open())
            .collect();
        if self.day.schedules {
            // As the runner does, the order is kept for a while.
            if now.is_multiple_of(ORDER_MS) || open.iter().any(|index| !self.order.contains(index))
            {
                let views: Vec<StepView> = open
                    .iter()
                    .map(|index| self.view(&self.batches[*index], now))
                    .collect();
                let order = order_steps(&views);
                self.order = order.into_iter().map(|position| open[position]).collect();
            }
            let order = self.order.iter().copied();
            open = order.filter(|index| open.contains(index)).collect();
            for index in &open {
                let (batch, _, received) = &self.batches[*index];
                for item in batch.idle_items(now - received, Millis(now)) {
                    self.start_item(*index, item, None, now);
                }
            }
        } else {
            open.sort_by_key(|batch| &self.batches[*batch].0.submission.id);
        }
        for index in &open {
            for item in self.batches[*index].0.interrupted(Millis(now)) {
                self.start_item(*index, item, None, now);
            }
        }
        for index in open {
            'batch: while let Ok(items) = self.batches[index].0.next_items(Millis(now)) {
                for (item, ahead) in items {
                    match self.start_item(index, item, ahead, now) {
                        Some(true) => continue 'batch,
                        Some(false) => {}
                        None => break 'batch,
                    }
                }
                break;
            }
        }
    }

    fn view(&self, (batch, _, received): &(Batch, Vec<u64>, u64), now: u64) -> StepView {
        let (service, model) = (ServiceName::from("engine"), &batch.submission.model);
        let versions = 1..=u64::MAX;
        let rate = self
            .fleet
            .event_rate(&service, model, &versions, Millis(now));
        let trainer: usize = model.as_str()[1..].parse().unwrap();
        StepView {
            due_in_ms: DUE_MS as f64 - (now - received) as f64,
            lost: self.lost[trainer],
            work_ms: batch.events_to_complete(&self.lengths) / rate,
        }
    }

    /// Starts an item if there is room for it. Returns whether it did; `None` if there is none.
    fn start_item(
        &mut self,
        index: usize,
        item: usize,
        ahead: Option<usize>,
        now: u64,
    ) -> Option<bool> {
        let batch = &self.batches[index].0;
        let place = self.fleet.place(&PlaceRequest {
            assigned: &self.assigned,
            dc: &Dc::from("north"),
            excluded: None,
            host: 1,
            model: &batch.submission.model,
            now: Millis(now),
            service: &ServiceName::from("engine"),
            versions: &(1..=u64::MAX),
            work: Work {
                ahead: ahead.unwrap_or_default(),
                patient: ahead.is_some(),
                ..self.work(batch, item)
            },
        })?;
        let batch = &mut self.batches[index].0;
        if place.defer && batch.defer(item, Millis(now)) {
            return Some(false);
        }
        batch.start(item);
        self.fleet.start(&place.target);
        self.outcomes.runs += 1.0;
        self.runs.push(Run {
            batch: index,
            item,
            target: place.target.as_str()[1..].parse().unwrap(),
            progress: batch.items[item].progress.last_event.unwrap_or_default() as f64,
            last: now,
            pace: Pace::default(),
        });
        Some(true)
    }

    /// Ends the steps that are complete or given up, and counts those that are due now.
    fn judge(&mut self, now: u64) {
        for (batch, _, received) in &mut self.batches {
            let submission = Arc::clone(&batch.submission);
            let all = groups(&submission.items);
            let is_whole = |items: &&Vec<usize>| {
                let mut items = items.iter();
                items.all(|item| batch.items[*item].state == ItemState::Done)
            };
            let whole = all.values().filter(is_whole).count();
            let complete = whole >= submission.wanted_groups as usize;
            let age = now - *received;
            if age == DUE_MS || (complete && !batch.ended && age < DUE_MS) {
                let trainer: usize = submission.model.as_str()[1..].parse().unwrap();
                if !batch.ended {
                    let step = &mut self.outcomes.steps[trainer];
                    step.0 += 1.0;
                    step.1 += f64::from(complete);
                    let lost = &mut self.lost[trainer];
                    *lost = if complete { 0 } else { *lost + 1 };
                    self.outcomes.groups.0 += f64::from(submission.wanted_groups);
                    let counted = whole.min(submission.wanted_groups as usize);
                    self.outcomes.groups.1 += counted as f64;
                }
            }
            if !batch.ended && now.is_multiple_of(1_000) {
                let mut since = self
                    .idle_since
                    .get(&submission.id)
                    .cloned()
                    .unwrap_or_default();
                since.resize(batch.items.len(), *received);
                for (item, since) in batch.items.iter().zip(&mut since) {
                    if item.state != (ItemState::Running) && item.state != ItemState::Done {
                        if now - *since >= 5_000 && batch.has_begun() {
                            self.outcomes.forgotten += 1.0;
                            *since = now;
                        }
                    } else {
                        *since = now;
                    }
                }
                self.idle_since.insert(submission.id.clone(), since);
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
            if self.day.moves && tick % 15 == 0 {
                self.check_moves(now);
            }
            self.start_items(now);
        }
        self.outcomes
    }
}

fn replay(day: &Day) -> Outcomes {
    let mut sum = Outcomes::default();
    for seed in 0..SEEDS {
        let outcomes = Replay::new(day.clone(), seed).run();
        for (sum, step) in sum.steps.iter_mut().zip(outcomes.steps) {
            *sum = (sum.0 + step.0, sum.1 + step.1);
        }
        sum.groups = (
            sum.groups.0 + outcomes.groups.0,
            sum.groups.1 + outcomes.groups.1,
        );
        sum.runs += outcomes.runs;
        sum.moves += outcomes.moves;
        sum.forgotten += outcomes.forgotten;
    }
    sum
}

/// Returns the part of the wanted groups that were whole when they were due, without and with knowledge
/// of the targets' speeds.
fn whole_groups(speeds: [f64; 3], noise: f64, load: f64) -> [f64; 2] {
    [false, true].map(|learns| {
        let day = Day {
            speeds,
            noise,
            load,
            learns,
            moves: false,
            schedules: false,
            sizes: [1.0; TRAINERS],
        };
        replay(&day).whole()
    })
}

/// Guards against long items that start at targets that are slow by nature, although faster ones will be
/// free soon.
#[rstest]
#[case([0.7, 0.7, 1.7])]
#[case([0.6, 1.0, 1.6])]
fn more_groups_are_whole_in_time_if_the_speeds_are_known(#[case] speeds: [f64; 3]) {
    for load in [1.0, 1.6] {
        let [unknown, known] = whole_groups(speeds, NOISE, load);
        assert!(
            known > unknown + 0.02,
            "{load}: {known:.3} after {unknown:.3}"
        );
    }
}

/// Guards against differences that are found where there are none.
#[test]
fn the_speeds_of_even_targets_change_nothing() {
    let [unknown, known] = whole_groups([1.0; 3], 1.0, 1.0);
    assert!(
        (known - unknown).abs() < 0.01,
        "{known:.3} after {unknown:.3}"
    );
}

/// Guards against moves that cost more than they bring: slots that others need, and repeated requests.
#[rstest]
#[case::even([1.0; 3], 1.0, 0.01)]
#[case::uneven([0.6, 1.0, 1.6], NOISE, 0.08)]
fn moves_are_few_and_make_no_group_late(
    #[case] speeds: [f64; 3],
    #[case] noise: f64,
    #[case] most: f64,
) {
    let [without, with] = [false, true].map(|moves| {
        replay(&Day {
            speeds,
            noise,
            load: 1.3,
            learns: true,
            moves,
            schedules: false,
            sizes: [1.0; TRAINERS],
        })
    });
    assert!(with.whole() > without.whole() - 0.01);
    assert!(with.moves < with.runs * most, "{with:?}");
}

/// Steps are submitted at 1.6 times the capacity. Guards against items that wait for most of the time
/// until their step is given up while others of it run, and against an order that makes whole groups
/// fewer than the order of arrival of identifiers does.
#[test]
fn hardly_an_item_is_forgotten_while_steps_compete() {
    let [unordered, ordered] = [false, true].map(|schedules| {
        replay(&Day {
            speeds: [1.0, 1.0, 1.3],
            noise: NOISE,
            load: 1.6,
            learns: true,
            moves: true,
            schedules,
            sizes: [0.95, 1.05, 0.9, 1.1],
        })
    });
    assert!(ordered.whole() > unordered.whole());
    assert!(ordered.forgotten * 4.0 < unordered.forgotten);
}
