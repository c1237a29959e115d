//! A simulated fleet of one service, with arrivals, a queue, and targets that take time to start
//! and can be reclaimed.

use std::collections::VecDeque;

use godwitspool_types::Millis;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Resolution of the simulation.
pub(super) const TICK: Millis = Millis(200);
/// Maximum number of requests that a target runs at the same time.
pub(super) const TARGET_SLOTS: u32 = 8;
/// Time from the order of a target until it can take requests.
pub(super) const START_DELAY: Millis = Millis(45_000);
/// Price of a non-reclaimable and of a reclaimable target, in price units.
pub(super) const PRICES_PER_HOUR: [u64; 2] = [1_000, 350];

const INTERACTIVE_REQUEST_MS: u64 = 2_000;
const SAMPLE_MS: u64 = 20_000;
const STEP_SAMPLES: u32 = 400;
/// Shortest time between the starts of two training steps.
const STEP_INTERVAL: Millis = Millis(600_000);
/// All reclaimable targets are reclaimed at this interval.
const RECLAIM_INTERVAL: Millis = Millis(2_400_000);
const HOUR: Millis = Millis(3_600_000);

#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) number: u32,
    pub(super) reclaimable: bool,
    /// When the target begins to take requests.
    pub(super) serves_at: Millis,
    /// Requests in progress.
    running: Vec<Running>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    ends_at: Millis,
    sample: bool,
}

/// Totals of a simulation run.
#[derive(Clone, Debug, Default)]
pub(super) struct Totals {
    /// Cost in price units.
    pub(super) cost: f64,
    /// Time that each interactive request waited for a slot.
    pub(super) wait_times_ms: Vec<u64>,
    /// Time from the start of each training step until all of its samples were complete.
    pub(super) step_times_ms: Vec<u64>,
    /// Number of targets started and stopped.
    pub(super) target_changes: u32,
}

/// The simulated fleet with its queues of interactive requests and samples.
pub(super) struct Fleet {
    last_number: u32,
    pub(super) now: Millis,
    pub(super) totals: Totals,
    rng: StdRng,
    queued_samples: u32,
    /// Start of the training step in progress.
    step_started: Option<Millis>,
    pub(super) targets: Vec<Target>,
    /// Arrival times of the interactive requests that wait.
    queue: VecDeque<Millis>,
}

impl Fleet {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            last_number: 0,
            now: Millis(0),
            totals: Totals::default(),
            rng: StdRng::seed_from_u64(seed),
            queued_samples: 0,
            step_started: None,
            targets: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    pub(super) fn start(&mut self, targets: u32, reclaimable: bool, start_delay: Millis) {
        for _ in 0..targets {
            self.last_number += 1;
            self.totals.target_changes += 1;
            self.targets.push(Target {
                number: self.last_number,
                reclaimable,
                running: Vec::new(),
                serves_at: self.now + start_delay,
            });
        }
    }

    /// Stops a target. Its samples return to the queue. Its interactive requests are not retried.
    pub(super) fn stop(&mut self, number: u32) {
        let index = self
            .targets
            .iter()
            .position(|target| target.number == number);
        if let Some(index) = index {
            let target = self.targets.remove(index);
            self.totals.target_changes += 1;
            let samples = target.running.iter().filter(|running| running.sample);
            self.queued_samples += samples.count() as u32;
        }
    }

    /// Returns the number of interactive requests that run or wait.
    pub(super) fn interactive(&self) -> u32 {
        let running = self.running(false);
        running + self.queue.len() as u32
    }

    /// Returns the number of samples that run or wait.
    pub(super) fn training(&self) -> u32 {
        self.running(true) + self.queued_samples
    }

    fn running(&self, sample: bool) -> u32 {
        let running = self.targets.iter().flat_map(|target| &target.running);
        running.filter(|running| running.sample == sample).count() as u32
    }

    /// Advances the simulation by one [`TICK`].
    pub(super) fn tick(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        for target in &mut self.targets {
            target.running.retain(|running| running.ends_at > now);
            let price = PRICES_PER_HOUR[usize::from(target.reclaimable)];
            self.totals.cost += price as f64 * TICK.0 as f64 / HOUR.0 as f64;
        }
        self.arrive();
        self.reclaim();
        self.assign();
        if self.training() == 0
            && let Some(started_at) = self.step_started.take()
        {
            self.totals.step_times_ms.push((now - started_at).0);
        }
    }

    fn arrive(&mut self) {
        // The arrival rate follows a daily cycle that is shortened to two hours, with a burst of
        // two minutes every half hour.
        let day = self.now.seconds() / 7_200.0 * std::f64::consts::TAU;
        let rush = if self.now.0 % 1_800_000 < 120_000 {
            12.0
        } else {
            0.0
        };
        let per_s = 14.0 - 12.0 * day.cos() + rush;
        let mean_arrivals = per_s * TICK.seconds();
        let mut threshold = (-mean_arrivals).exp();
        let mut arrived = 0;
        let mut product: f64 = self.rng.random();
        while product > threshold && arrived < 1_000 {
            arrived += 1;
            product *= self.rng.random::<f64>();
            threshold = threshold.max(f64::MIN_POSITIVE);
        }
        self.queue.extend((0..arrived).map(|_| self.now));
        if self.now.0.is_multiple_of(STEP_INTERVAL.0) && self.step_started.is_none() {
            self.queued_samples += STEP_SAMPLES;
            self.step_started = Some(self.now);
        }
    }

    fn reclaim(&mut self) {
        if !self.now.0.is_multiple_of(RECLAIM_INTERVAL.0) {
            return;
        }
        let reclaimed = self.targets.iter().filter(|target| target.reclaimable);
        for number in reclaimed.map(|target| target.number).collect::<Vec<_>>() {
            self.stop(number);
        }
    }

    /// Fills free slots. Interactive requests run only on non-reclaimable targets. Samples run on
    /// reclaimable targets, and on the others in the slots beyond the expected interactive demand.
    fn assign(&mut self) {
        let now = self.now;
        let serving = self.targets.iter().filter(|target| target.serves_at <= now);
        let permanent_slots =
            serving.filter(|target| !target.reclaimable).count() as u32 * TARGET_SLOTS;
        let needed = self.interactive() * 5 / 4 + TARGET_SLOTS;
        let mut spare = permanent_slots.saturating_sub(needed + self.permanent_slot_samples());
        for target in self
            .targets
            .iter_mut()
            .filter(|target| target.serves_at <= now)
        {
            while (target.running.len() as u32) < TARGET_SLOTS && !target.reclaimable {
                let Some(arrived_at) = self.queue.pop_front() else {
                    break;
                };
                self.totals.wait_times_ms.push((now - arrived_at).0);
                target.running.push(Running {
                    ends_at: now + Millis(INTERACTIVE_REQUEST_MS),
                    sample: false,
                });
            }
            while (target.running.len() as u32) < TARGET_SLOTS
                && self.queued_samples > 0
                && (target.reclaimable || spare > 0)
            {
                self.queued_samples -= 1;
                spare = spare.saturating_sub(u32::from(!target.reclaimable));
                target.running.push(Running {
                    ends_at: now + Millis(SAMPLE_MS),
                    sample: true,
                });
            }
        }
    }

    fn permanent_slot_samples(&self) -> u32 {
        let permanent = self.targets.iter().filter(|target| !target.reclaimable);
        let running = permanent.flat_map(|target| &target.running);
        running.filter(|running| running.sample).count() as u32
    }
}
