//! The platform's HTTP API.

use std::{thread, time::Duration};

use godwitspool_connection::platform::{AppendRequest, Appended, TargetOrder, UsageReport};
use godwitspool_types::{Dc, Offset};
use serde::Serialize;
use tiny_http::{Method, Request, Response};

use crate::{
    platform::{Shared, State},
    platform_event::PlatformEvent,
    server::{leave_unanswered, lock, read_body, read_json, respond_json, respond_status, wall_ms},
};

const MAX_PAGE_RECORDS: usize = 1_000;

/// Handles one request, received at the address of the data centre `view` or at the common address.
pub(crate) fn handle(mut request: Request, shared: &Shared, view: Option<&Dc>) {
    let body = read_body(&mut request);
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let parts = path.trim_start_matches('/').split('/').collect::<Vec<_>>();
    let latency_ms = lock(&shared.state).latency_ms;
    if latency_ms > 0 {
        thread::sleep(Duration::from_millis(latency_ms));
    }
    match (request.method(), parts.as_slice()) {
        (Method::Post, ["log", "append"]) => append(request, &body, shared),
        (Method::Get, ["log"]) => page(request, query, shared),
        (Method::Get, ["hosts"]) => {
            let hosts = lock(&shared.state).hosts(view);
            respond_json(request, &hosts);
        }
        (Method::Get, ["targets"]) => {
            let targets = lock(&shared.state).targets.get(wall_ms());
            respond_json(request, &targets);
        }
        (Method::Post, ["orders"]) => order(request, &body, shared),
        (Method::Post, ["usage"]) => usage(request, &body, shared),
        (Method::Get, ["weights", _, _]) => weights(request, shared),
        (Method::Get, ["history"]) => {
            let history = lock(&shared.state).history.clone();
            respond_json(request, &history);
        }
        _ => respond_status(request, 404, "no such call"),
    }
}

fn append(request: Request, body: &[u8], shared: &Shared) {
    let params = match read_json::<AppendRequest>(body) {
        Ok(params) => params,
        Err(error) => return respond_status(request, 400, &error),
    };
    let mut state = lock(&shared.state);
    if state.outage {
        drop(state);
        return respond_status(request, 503, "the log is out");
    }
    if !state.appends.allow(wall_ms()) {
        drop(state);
        return respond_status(request, 429, "too many appends");
    }
    let records = params.records.len() as u64;
    let first = state.log.append(params.records);
    state.record(PlatformEvent::Appended { first, records });
    let lost = state.take_lost_answer();
    drop(state);
    answer(request, &Appended { first }, lost);
}

fn page(request: Request, query: &str, shared: &Shared) {
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse::<u64>().ok())
    };
    let from = Offset(number("from").unwrap_or(0));
    let max = number("max").map_or(MAX_PAGE_RECORDS, |max| max as usize);
    let state = lock(&shared.state);
    if state.outage {
        drop(state);
        return respond_status(request, 503, "the log is out");
    }
    let page = state.log.page(from, max.min(MAX_PAGE_RECORDS));
    drop(state);
    respond_json(request, &page);
}

fn order(request: Request, body: &[u8], shared: &Shared) {
    let order = match read_json::<TargetOrder>(body) {
        Ok(order) => order,
        Err(error) => return respond_status(request, 400, &error),
    };
    let mut state = lock(&shared.state);
    let repeated = state.fleet.has_order(&order.order);
    let outcome = state.fleet.order(&order, wall_ms());
    state.record(PlatformEvent::Order {
        answer: outcome.clone(),
        order,
        repeated,
    });
    let lost = state.take_lost_answer();
    drop(state);
    answer(request, &outcome, lost);
}

fn usage(request: Request, body: &[u8], shared: &Shared) {
    let report = match read_json::<UsageReport>(body) {
        Ok(report) => report,
        Err(error) => return respond_status(request, 400, &error),
    };
    let mut state = lock(&shared.state);
    let known = state.reports.get(&report.window);
    let stored = known.is_none_or(|known| known.rows == report.rows);
    if stored {
        state
            .reports
            .entry(report.window)
            .or_insert_with(|| report.clone());
    }
    state.record(PlatformEvent::Usage { report, stored });
    let lost = state.take_lost_answer();
    drop(state);
    if lost {
        return leave_unanswered(request);
    }
    let status = if stored { 200 } else { 409 };
    respond_status(request, status, "");
}

fn weights(request: Request, shared: &Shared) {
    if !lock(&shared.state).downloads.allow(wall_ms()) {
        return respond_status(request, 429, "too many downloads");
    }
    let body = vec![0; shared.options.weight_bytes];
    drop(request.respond(Response::from_data(body)));
}

/// Responds with JSON, or leaves the request unanswered if the answer is lost.
fn answer(request: Request, value: &impl Serialize, lost: bool) {
    if lost {
        leave_unanswered(request);
    } else {
        respond_json(request, value);
    }
}

impl State {
    /// Returns whether the next answer is to be lost, and counts it.
    fn take_lost_answer(&mut self) -> bool {
        let lost = self.lost_answers > 0;
        self.lost_answers = self.lost_answers.saturating_sub(1);
        lost
    }
}
