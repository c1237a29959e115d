//! Slopes of demand reports, usage records, usage seals and coverage.

use godwitspool_connection::messages::{Demand, ServiceDemand, StewardRequest, UsageRecord};
use godwitspool_types::{Incarnation, Offset, RequestId};
use godwitspool_version::{
    Coverage, Fold, HostLife, Record, RecordBody, UsageFigures, UsageRange, UsageSeal,
};

use crate::series::{Series, time_us};

pub(super) fn measure() -> Vec<Series> {
    let sizes = [10, 100, 1_000];
    vec![
        Series::measure("demand-bytes", "services", "bytes", &[1, 3, 10], |n| {
            encode(&StewardRequest::Demand(demand(n))).len() as f64
        }),
        Series::measure("demand-us", "services", "us", &[1, 3, 10], |n| {
            let bytes = encode(&StewardRequest::Demand(demand(n)));
            time_us(200, || {
                postcard::from_bytes::<StewardRequest>(&bytes).is_ok()
            })
        }),
        Series::measure("usage-message-bytes", "requests", "bytes", &sizes, |n| {
            encode(&StewardRequest::HoldUsage(records(n))).len() as f64
        }),
        Series::measure("usage-message-us", "requests", "us", &sizes, |n| {
            let message = StewardRequest::HoldUsage(records(n));
            time_us(20, || {
                let bytes = encode(&message);
                postcard::from_bytes::<StewardRequest>(&bytes).is_ok()
            })
        }),
        Series::measure("seal-figure-bytes", "figures", "bytes", &sizes, |n| {
            Record::new(RecordBody::UsageSeal(seal(0, n, 1)))
                .encode()
                .len() as f64
        }),
        Series::measure("seal-range-bytes", "ranges", "bytes", &sizes, |n| {
            Record::new(RecordBody::UsageSeal(seal(0, 1, n)))
                .encode()
                .len() as f64
        }),
        Series::measure("seal-fold-us", "figures", "us", &sizes, |n| {
            let text = Record::new(RecordBody::UsageSeal(seal(0, n, 131))).encode();
            time_us(20, || Fold::default().apply_text(Offset(0), &text).is_ok())
        }),
        Series::measure("coverage-us", "lives", "us", &[100, 1_000, 10_000], |n| {
            let ranges = seal(0, 0, n).ranges;
            time_us(5, || Coverage::default().cover(&ranges, 0))
        }),
        Series::measure(
            "coverage-snapshot-bytes",
            "lives",
            "bytes",
            &[100, 1_000, 10_000],
            |n| {
                let mut fold = Fold::default();
                let record = Record::new(RecordBody::UsageSeal(seal(0, 0, n)));
                fold.apply(Offset(0), &record)
                    .expect("the offset is the first");
                fold.snapshot().len() as f64
            },
        ),
    ]
}

fn encode(message: &StewardRequest) -> Vec<u8> {
    postcard::to_stdvec(message).expect("a message has a postcard form")
}

fn demand(services: usize) -> Demand {
    let service = |index: usize| ServiceDemand {
        service: format!("party/service-{index}").into(),
        interactive: 300,
        training: 300,
        waiting: 200,
        backlog: 3_000,
    };
    Demand {
        host: "dc-7-host-101".into(),
        services: (0..services).map(service).collect(),
        suspects: Vec::new(),
    }
}

fn records(count: usize) -> Vec<UsageRecord> {
    let record = |index: usize| UsageRecord {
        host: "dc-7-host-101".into(),
        sequence: 1_000_000 + index as u64,
        incarnation: 1_796_000_000_000,
        output_tokens: 383,
        prompt_tokens: 1_200,
        request: RequestId::random(),
        service: "party/assistant".into(),
        workspace: format!("party/workspace-{}", index % 100).into(),
    };
    (0..count).map(record).collect()
}

fn seal(window: u64, figures: usize, ranges: usize) -> UsageSeal {
    let figure = |index: usize| UsageFigures {
        workspace: format!("party/workspace-{index}").into(),
        service: "party/assistant".into(),
        requests: 10_000,
        prompt_tokens: 12_000_000,
        output_tokens: 3_830_000,
    };
    let range = |index: usize| UsageRange {
        first: 1_000_000,
        last: 1_001_920,
        source: HostLife {
            host: format!("dc-7-host-{index}").into(),
            incarnation: Incarnation(1_796_000_000_000 + index as u64),
        },
    };
    UsageSeal {
        dc: "dc-7".into(),
        figures: (0..figures).map(figure).collect(),
        ranges: (0..ranges).map(range).collect(),
        window,
    }
}
