//! Brings what the stand-ins recorded into the history.

use std::hash::{DefaultHasher, Hash, Hasher};

use godwitspool_connection::platform::TargetState;
use godwitspool_fakes::{
    EngineEvent, EngineRecord, PlainCall, Platform, PlatformEvent, PlatformRecord,
};
use godwitspool_history::{Event, Recorder, Span, Work};
use godwitspool_types::RequestId;

/// Brings what the stand-ins recorded into the history.
pub(crate) fn collect(platform: &Platform, recorder: &Recorder) {
    for engine in platform.engines() {
        engine
            .history()
            .into_iter()
            .for_each(|record| add_engine(record, recorder));
    }
    for service in platform.plain_services() {
        service
            .history()
            .into_iter()
            .for_each(|call| add_call(call, recorder));
    }
    platform
        .history()
        .into_iter()
        .for_each(|record| add_platform(record, recorder));
}

fn add_engine(record: EngineRecord, recorder: &Recorder) {
    let EngineRecord {
        at_ms,
        event,
        target,
    } = record;
    match event {
        EngineEvent::Received { key, prompt, .. } => {
            let work = Work::Prompt(prompt);
            recorder.record_wall(at_ms, Event::Received { key, target, work });
        }
        EngineEvent::KeySeen(place) => {
            let (key, work) = (Some(place), Work::Call(RequestId(0)));
            recorder.record_wall(at_ms, Event::Received { key, target, work });
        }
        EngineEvent::Ended { prompt, spans, .. } => {
            for span in spans {
                let span = Span {
                    from: span.from,
                    to: span.to,
                    version: span.version,
                };
                let (target, work) = (target.clone(), Work::Prompt(prompt));
                recorder.record_wall(at_ms, Event::Produced { span, target, work });
            }
        }
        EngineEvent::Crashed | EngineEvent::Swap { .. } => {}
    }
}

fn add_call(call: PlainCall, recorder: &Recorder) {
    let id = call.call.parse().unwrap_or_default();
    let (key, target, work) = (call.key, call.target, Work::Call(id));
    recorder.record_wall(call.at_ms, Event::Received { key, target, work });
}

fn add_platform(record: PlatformRecord, recorder: &Recorder) {
    let event = match record.event {
        PlatformEvent::Order { order, .. } => Event::Ordered {
            host: order.host,
            order: order.order,
            term: order.term,
        },
        PlatformEvent::Usage { report, .. } => {
            let mut hasher = DefaultHasher::new();
            for row in &report.rows {
                let counts = [row.requests, row.prompt_tokens, row.output_tokens];
                (row.workspace.as_str(), row.service.as_str(), counts).hash(&mut hasher);
            }
            let (host, term, window) = (report.host, report.term, report.window);
            Event::Reported {
                figures: hasher.finish(),
                host,
                term,
                window,
            }
        }
        PlatformEvent::Target { state, target } => match state {
            Some(TargetState::Leaving | TargetState::Reclaimed) => Event::Leaving(target),
            _ => return,
        },
        PlatformEvent::Appended { .. } => return,
    };
    recorder.record_wall(record.at_ms, event);
}
