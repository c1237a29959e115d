//! Adds the records of the fakes to the history.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use godwitspool_connection::platform::TargetState;
use godwitspool_fakes::{
    EngineEvent, EngineRecord, PlainCall, Platform, PlatformEvent, PlatformRecord, prompt_hash,
    token,
};
use godwitspool_history::{Answer, Event, Recorder, Span, Work};
use godwitspool_types::RequestId;

use crate::{caller::check_answer, trainer::Delivery};

/// Adds the records of the platform and its targets, and the samples that trainers received, to the
/// history.
pub(crate) fn collect(platform: &Platform, deliveries: &[Delivery], recorder: &Recorder) {
    let prompts = index_prompts(platform);
    for delivery in deliveries {
        add_delivery(delivery, &prompts, recorder);
    }
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

/// Hashes of prompt and seed that engines received, by the hash of the prompt alone.
type PromptIndex = HashMap<u64, Vec<u64>>;

fn index_prompts(platform: &Platform) -> PromptIndex {
    let mut prompts = PromptIndex::new();
    for record in platform
        .engines()
        .iter()
        .flat_map(|engine| engine.history())
    {
        if let EngineEvent::Received {
            messages, prompt, ..
        } = record.event
        {
            let hashes = prompts.entry(messages).or_default();
            if !hashes.contains(&prompt) {
                hashes.push(prompt);
            }
        }
    }
    prompts
}

/// Records a sample. Its first token shows with which seed it was generated, since a trainer
/// doesn't know the seeds.
fn add_delivery(delivery: &Delivery, prompts: &PromptIndex, recorder: &Recorder) {
    let hashes = prompts
        .get(&prompt_hash(&delivery.messages, 0))
        .map_or(&[][..], Vec::as_slice);
    let first = delivery.tokens.first();
    let prompt = hashes
        .iter()
        .find(|prompt| first == Some(&token(**prompt, 0)));
    let answer = match (prompt, first) {
        (Some(prompt), _) => {
            let tokens = delivery.tokens.iter().map(String::as_str);
            check_answer(*prompt, delivery.max_tokens, tokens)
        }
        (None, Some(_)) => Answer::Foreign,
        (None, None) => Answer::Cut,
    };
    let event = Event::Delivered {
        answer,
        fetch: delivery.fetch,
        sample: delivery.sample.clone(),
        spans: delivery.spans.clone(),
        work: Work::Prompt(prompt.copied().unwrap_or_default()),
    };
    recorder.record_at(delivery.at, event);
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
        EngineEvent::KeySeen(location) => {
            let (key, work) = (Some(location), Work::Call(RequestId(0)));
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
