//! Tests usage accounting with concurrent seals, hosts that lag behind, repeated appends and
//! changes of the lease holder.

use godwitspool_types::{Dc, HostName, Incarnation, Millis, Offset, Term};
use godwitspool_version::{
    Fold, HeldUsage, HostLife, LeaseKind, LeaseRecord, LeaseStep, Record, RecordBody, RequestUsage,
    UsageFigures, UsageRange, UsageSeal, UsageStep, UsageView, WindowFrozen, usage_steps,
};
use proptest::{collection::vec, prelude::*};

const STEWARDS: usize = 3;

fn life(host: usize) -> HostLife {
    HostLife {
        host: format!("h{host}").into(),
        incarnation: Incarnation(1),
    }
}

fn dc(steward: usize) -> Dc {
    // Two stewards share a data centre, and the third has its own.
    format!("d{}", steward / 2).into()
}

#[derive(Clone, Copy, Debug)]
enum Op {
    /// An entry host answers a request, and all stewards store its usage.
    Answer(usize),
    /// A steward reads one more record of the log.
    Read(usize),
    /// A steward seals its data centre's window from the usage that it stores. If set, the append
    /// is repeated.
    Seal(usize, bool),
    /// A steward that believes it holds the lease executes the holder's steps. If set, the appends
    /// are repeated.
    Lead(usize, bool),
    /// A steward claims the lease.
    Claim(usize),
    /// The current window ends.
    Pass,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..STEWARDS).prop_map(Op::Answer),
        6 => (0..STEWARDS).prop_map(Op::Read),
        3 => (0..STEWARDS, any::<bool>()).prop_map(|(steward, twice)| Op::Seal(steward, twice)),
        3 => (0..STEWARDS, any::<bool>()).prop_map(|(steward, twice)| Op::Lead(steward, twice)),
        1 => (0..STEWARDS).prop_map(Op::Claim),
        1 => Just(Op::Pass),
    ]
}

#[derive(Default)]
struct World {
    answered: [u64; STEWARDS],
    folds: [Fold; STEWARDS],
    held: [HeldUsage; STEWARDS],
    log: Vec<Record>,
    reports: Vec<(u64, Vec<UsageFigures>)>,
    window: u64,
}

impl World {
    fn run(&mut self, op: Op) {
        match op {
            Op::Answer(source) => self.answer(source),
            Op::Read(steward) => {
                self.read(steward);
            }
            Op::Seal(steward, twice) => {
                // A repeated seal is also late, since it is for the window before.
                let window = self.window.saturating_sub(u64::from(twice));
                let body = RecordBody::UsageSeal(self.seal(steward, window));
                self.append(body, twice);
            }
            Op::Lead(steward, twice) => self.lead(steward, twice),
            Op::Claim(steward) => {
                let after = self.folds[steward].lease(LeaseKind::Usage).last;
                let claim = LeaseRecord {
                    step: LeaseStep::Claim { after },
                    lease: LeaseKind::Usage,
                    holder: life(steward),
                };
                self.append(RecordBody::Lease(claim), false);
            }
            Op::Pass => self.window += 1,
        }
    }

    fn answer(&mut self, source: usize) {
        self.answered[source] += 1;
        let usage = RequestUsage {
            figures: UsageFigures {
                workspace: "w".into(),
                service: "s".into(),
                requests: 1,
                prompt_tokens: 2,
                output_tokens: self.answered[source],
            },
            sequence: self.answered[source],
            source: life(source),
        };
        for (held, fold) in self.held.iter_mut().zip(&self.folds) {
            held.hold(usage.clone(), &fold.windows().coverage, Millis(0));
        }
    }

    fn read(&mut self, steward: usize) -> bool {
        let fold = &mut self.folds[steward];
        let at = fold.next();
        let Some(record) = self.log.get(at.0 as usize) else {
            return false;
        };
        fold.apply(at, record).expect("no gap");
        self.held[steward].forget_covered(&fold.windows().coverage);
        true
    }

    fn seal(&self, steward: usize, window: u64) -> UsageSeal {
        let is_own = |host: &HostName| {
            (0..STEWARDS).any(|other| life(other).host == *host && dc(other) == dc(steward))
        };
        self.held[steward].seal(&dc(steward), window, is_own, Millis(0))
    }

    fn lead(&mut self, steward: usize, twice: bool) {
        let fold = &self.folds[steward];
        let lease = fold.lease(LeaseKind::Usage);
        let Some(holder) = lease.holder.filter(|holder| holder.life == life(steward)) else {
            return;
        };
        let view = UsageView {
            table: fold.windows(),
            current: self.window,
            dcs: &[dc(0), dc(2)],
            seal_wait_windows: 2,
        };
        for step in usage_steps(view, holder.term) {
            match step {
                UsageStep::Freeze(frozen) => self.append(RecordBody::WindowFrozen(frozen), twice),
                UsageStep::Report(frozen) => {
                    self.reports.push((frozen.window, frozen.figures));
                    let reported = RecordBody::WindowReported {
                        term: holder.term,
                        window: frozen.window,
                    };
                    self.append(reported, twice);
                }
            }
        }
    }

    fn append(&mut self, body: RecordBody, twice: bool) {
        let record = Record::new(body);
        if twice {
            self.log.push(record.clone());
        }
        self.log.push(record);
    }

    /// Lets every steward read to the end of the log.
    fn read_all(&mut self) {
        for steward in 0..STEWARDS {
            while self.read(steward) {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn each_answer_is_billed_once(ops in vec(op(), 0..150)) {
        let mut world = World::default();
        world.run(Op::Claim(0));
        for op in ops {
            world.run(op);
        }
        world.read_all();
        // Without further faults, windows pass until all usage is sealed, frozen and reported.
        for _ in 0..4 {
            world.run(Op::Claim(1));
            world.read_all();
            for steward in 0..STEWARDS {
                world.run(Op::Seal(steward, false));
            }
            world.run(Op::Pass);
            world.read_all();
            for _ in 0..40 {
                world.run(Op::Lead(1, false));
                world.read_all();
            }
        }
        let mut billed = std::collections::BTreeMap::new();
        for (window, figures) in &world.reports {
            let first = billed.entry(*window).or_insert_with(|| figures.clone());
            prop_assert_eq!(&*first, figures, "window {} reported with other figures", window);
        }
        let requests = billed.values().flatten().map(|sum| sum.requests).sum::<u64>();
        let tokens = billed.values().flatten().map(|sum| sum.output_tokens).sum::<u64>();
        prop_assert_eq!(requests, world.answered.iter().sum::<u64>());
        prop_assert_eq!(tokens, world.answered.iter().map(|n| n * (n + 1) / 2).sum::<u64>());
    }
}

fn seal(window: u64, dc: &str, first: u64, last: u64) -> RecordBody {
    RecordBody::UsageSeal(UsageSeal {
        dc: dc.into(),
        figures: vec![UsageFigures {
            workspace: "w".into(),
            requests: last + 1 - first,
            ..UsageFigures::default()
        }],
        ranges: vec![UsageRange {
            first,
            last,
            source: life(0),
        }],
        window,
    })
}

fn fold(bodies: impl IntoIterator<Item = RecordBody>) -> Fold {
    let mut fold = Fold::default();
    let claim = LeaseRecord {
        step: LeaseStep::Claim { after: None },
        lease: LeaseKind::Usage,
        holder: life(0),
    };
    for body in std::iter::once(RecordBody::Lease(claim)).chain(bodies) {
        fold.apply(fold.next(), &Record::new(body)).expect("no gap");
    }
    fold
}

fn steps(fold: &Fold, current: u64) -> Vec<UsageStep> {
    let view = UsageView {
        table: fold.windows(),
        current,
        dcs: &["d0".into(), "d1".into()],
        seal_wait_windows: 3,
    };
    usage_steps(view, Term(0))
}

#[test]
fn the_first_seal_counts() {
    let fold = fold([seal(5, "d0", 1, 4), seal(5, "d0", 1, 9)]);
    assert_eq!(fold.windows().sum(5)[0].requests, 4);
}

#[test]
fn a_seal_over_covered_requests_is_refused_whole() {
    let fold = fold([seal(5, "d0", 1, 4), seal(5, "d1", 4, 9)]);
    assert!(!fold.windows().is_sealed(5, &"d1".into()));
    assert_eq!(fold.windows().sum(5)[0].requests, 4);
}

#[test]
fn a_cut_off_data_centre_is_waited_for_and_then_named() {
    let fold = fold([seal(5, "d0", 1, 4)]);
    assert!(steps(&fold, 8).is_empty());
    let frozen = WindowFrozen {
        figures: fold.windows().sum(5),
        missing: vec!["d1".into()],
        term: Term(0),
        window: 5,
    };
    assert_eq!(steps(&fold, 9), [UsageStep::Freeze(frozen)]);
}

#[test]
fn figures_that_differ_from_the_seals_are_not_frozen() {
    let frozen = |requests| {
        RecordBody::WindowFrozen(WindowFrozen {
            figures: vec![UsageFigures {
                workspace: "w".into(),
                requests,
                ..UsageFigures::default()
            }],
            window: 5,
            ..WindowFrozen::default()
        })
    };
    let wrong = fold([seal(5, "d0", 1, 4), frozen(9)]);
    assert_eq!(wrong.windows().last_frozen, None);
    let right = fold([seal(5, "d0", 1, 4), frozen(4), frozen(4)]);
    assert_eq!(right.windows().last_frozen, Some(5));
    assert_eq!(right.counts().overtaken, 1);
}

#[test]
fn a_holder_whose_term_ended_freezes_nothing() {
    let claim = LeaseRecord {
        step: LeaseStep::Claim {
            after: Some(Offset(0)),
        },
        lease: LeaseKind::Usage,
        holder: life(1),
    };
    let frozen = WindowFrozen {
        window: 5,
        ..WindowFrozen::default()
    };
    let fold = fold([RecordBody::Lease(claim), RecordBody::WindowFrozen(frozen)]);
    assert_eq!(fold.windows().last_frozen, None);
}

#[test]
fn a_window_is_not_frozen_past_an_older_one_with_seals() {
    let frozen = |window| {
        RecordBody::WindowFrozen(WindowFrozen {
            figures: vec![UsageFigures {
                workspace: "w".into(),
                requests: 4,
                ..UsageFigures::default()
            }],
            window,
            ..WindowFrozen::default()
        })
    };
    let fold = fold([
        seal(5, "d0", 5, 8),
        seal(4, "d0", 1, 4),
        frozen(5),
        frozen(4),
    ]);
    assert_eq!(fold.windows().last_frozen, Some(4));
}

#[test]
fn a_frozen_window_takes_no_further_seal() {
    let frozen = RecordBody::WindowFrozen(WindowFrozen {
        figures: vec![UsageFigures {
            workspace: "w".into(),
            requests: 4,
            ..UsageFigures::default()
        }],
        missing: vec!["d1".into()],
        term: Term(0),
        window: 5,
    });
    let fold = fold([seal(5, "d0", 1, 4), frozen, seal(5, "d1", 5, 8)]);
    assert!(!fold.windows().is_sealed(5, &"d1".into()));
    assert!(!fold.windows().coverage.contains(&life(0), 5));
}
