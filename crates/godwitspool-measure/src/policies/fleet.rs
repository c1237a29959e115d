//! A simulated fleet of one service: arrivals, a queue, targets that start late and are reclaimed.

use std::collections::VecDeque;

use godwitspool_types::Millis;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Time between two looks at the fleet.
pub(super) const STEP: Millis = Millis(200);
/// Requests that a target runs at once.
pub(super) const SLOTS: u32 = 8;
/// Time from order to first request.
pub(super) const START: Millis = Millis(45_000);
/// Price of a target that stays, and of one that can be reclaimed, an hour.
pub(super) const PRICES: [u64; 2] = [1_000, 350];

const INTERACTIVE_MS: u64 = 2_000;
const SAMPLE_MS: u64 = 20_000;
const STEP_SAMPLES: u32 = 400;
const STEP_PERIOD: Millis = Millis(600_000);
const RECLAIM_PERIOD: Millis = Millis(2_400_000);
const HOUR: Millis = Millis(3_600_000);

/// A target of the fleet.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) number: u32,
    pub(super) reclaimable: bool,
    pub(super) serves_at: Millis,
    /// Ends of the requests in progress.
    running: Vec<Running>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    ends: Millis,
    sample: bool,
}

/// What the fleet did.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Price units paid.
    pub(super) cost: f64,
    /// Waits of interactive requests, in milliseconds.
    pub(super) waits: Vec<u64>,
    /// Times in which steps' samples became whole, in milliseconds.
    pub(super) steps: Vec<u64>,
    /// Targets started and stopped.
    pub(super) moves: u32,
}

/// The fleet and its work.
pub(super) struct Fleet {
    next: u32,
    pub(super) now: Millis,
    pub(super) record: Record,
    rng: StdRng,
    samples: u32,
    step_began: Option<Millis>,
    pub(super) targets: Vec<Target>,
    waiting: VecDeque<Millis>,
}

impl Fleet {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            next: 0,
            now: Millis(0),
            record: Record::default(),
            rng: StdRng::seed_from_u64(seed),
            samples: 0,
            step_began: None,
            targets: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    pub(super) fn start(&mut self, targets: u32, reclaimable: bool, wait: Millis) {
        for _ in 0..targets {
            self.next += 1;
            self.record.moves += 1;
            self.targets.push(Target {
                number: self.next,
                reclaimable,
                running: Vec::new(),
                serves_at: self.now + wait,
            });
        }
    }

    /// Stops a target; its samples are resumed elsewhere.
    pub(super) fn stop(&mut self, number: u32) {
        let at = self
            .targets
            .iter()
            .position(|target| target.number == number);
        if let Some(at) = at {
            let target = self.targets.remove(at);
            self.record.moves += 1;
            let samples = target.running.iter().filter(|running| running.sample);
            self.samples += samples.count() as u32;
        }
    }

    /// Interactive requests that run or wait.
    pub(super) fn interactive(&self) -> u32 {
        let running = self.running(false);
        running + self.waiting.len() as u32
    }

    /// Samples that run or wait.
    pub(super) fn training(&self) -> u32 {
        self.running(true) + self.samples
    }

    fn running(&self, sample: bool) -> u32 {
        let running = self.targets.iter().flat_map(|target| &target.running);
        running.filter(|running| running.sample == sample).count() as u32
    }

    /// Lets a step of time pass.
    pub(super) fn pass(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        for target in &mut self.targets {
            target.running.retain(|running| running.ends > now);
            let price = PRICES[usize::from(target.reclaimable)];
            self.record.cost += price as f64 * STEP.0 as f64 / HOUR.0 as f64;
        }
        self.arrive();
        self.reclaim();
        self.assign();
        if self.training() == 0
            && let Some(began) = self.step_began.take()
        {
            self.record.steps.push((now - began).0);
        }
    }

    fn arrive(&mut self) {
        // Two hours stand for a day: a quiet night, a busy noon, and a rush every quarter of it.
        let day = self.now.seconds() / 7_200.0 * std::f64::consts::TAU;
        let rush = if self.now.0 % 1_800_000 < 120_000 {
            12.0
        } else {
            0.0
        };
        let per_s = 14.0 - 12.0 * day.cos() + rush;
        let mean = per_s * STEP.seconds();
        let mut budget = (-mean).exp();
        let mut arrived = 0;
        let mut product: f64 = self.rng.random();
        while product > budget && arrived < 1_000 {
            arrived += 1;
            product *= self.rng.random::<f64>();
            budget = budget.max(f64::MIN_POSITIVE);
        }
        self.waiting.extend((0..arrived).map(|_| self.now));
        if self.now.0.is_multiple_of(STEP_PERIOD.0) && self.step_began.is_none() {
            self.samples += STEP_SAMPLES;
            self.step_began = Some(self.now);
        }
    }

    fn reclaim(&mut self) {
        if !self.now.0.is_multiple_of(RECLAIM_PERIOD.0) {
            return;
        }
        let lost = self.targets.iter().filter(|target| target.reclaimable);
        for number in lost.map(|target| target.number).collect::<Vec<_>>() {
            self.stop(number);
        }
    }

    /// Gives free slots of targets that stay to interactive requests; training takes the reclaimable
    /// targets, and of the others what interactive requests are not about to need.
    fn assign(&mut self) {
        let now = self.now;
        let serving = self.targets.iter().filter(|target| target.serves_at <= now);
        let kept = serving.filter(|target| !target.reclaimable).count() as u32 * SLOTS;
        let needed = self.interactive() * 5 / 4 + SLOTS;
        let mut spare = kept.saturating_sub(needed + self.running_kept_samples());
        for target in self
            .targets
            .iter_mut()
            .filter(|target| target.serves_at <= now)
        {
            while (target.running.len() as u32) < SLOTS && !target.reclaimable {
                let Some(came) = self.waiting.pop_front() else {
                    break;
                };
                self.record.waits.push((now - came).0);
                target.running.push(Running {
                    ends: now + Millis(INTERACTIVE_MS),
                    sample: false,
                });
            }
            while (target.running.len() as u32) < SLOTS
                && self.samples > 0
                && (target.reclaimable || spare > 0)
            {
                self.samples -= 1;
                spare = spare.saturating_sub(u32::from(!target.reclaimable));
                target.running.push(Running {
                    ends: now + Millis(SAMPLE_MS),
                    sample: true,
                });
            }
        }
    }

    fn running_kept_samples(&self) -> u32 {
        let kept = self.targets.iter().filter(|target| !target.reclaimable);
        let running = kept.flat_map(|target| &target.running);
        running.filter(|running| running.sample).count() as u32
    }
}
