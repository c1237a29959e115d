//! The operators' HTTP pages: readiness, status, `explain` and quarantine.

use std::{io, net::TcpListener, sync::Arc};

use godwitspool_process::{OperatorApi, OperatorHttp, Readiness};
use godwitspool_types::RequestId;
use serde_json::{Value, json};

use crate::{process::shared::Shared, request::suspicion};

const EXPLAIN: &str = "/explain/";
const LIFT: &str = "/quarantine/lift/";
const QUARANTINE: &str = "/quarantine";

/// The entry's pages for operators.
#[derive(Debug)]
struct Pages(Arc<Shared>);

/// Starts the operators' HTTP listener.
pub(crate) fn serve(shared: &Arc<Shared>) -> io::Result<OperatorHttp> {
    let listener = TcpListener::bind(shared.settings.operators)?;
    let metrics = Arc::clone(&shared.serving.metrics);
    OperatorHttp::start(listener, metrics, Arc::new(Pages(Arc::clone(shared))))
}

impl OperatorApi for Pages {
    fn readiness(&self) -> Readiness {
        if self.0.leaving() {
            return Readiness::NotReady("entry leaves".to_owned());
        }
        if self.0.view().revision == 0 {
            return Readiness::NotReady("no configuration found yet".to_owned());
        }
        Readiness::Ready
    }

    fn status(&self) -> Value {
        let view = self.0.view();
        let in_flight = view.targets.iter().map(|entry| {
            let count = self.0.in_flight(&entry.target);
            (entry.target.to_string(), Value::from(count))
        });
        json!({
            "age_ms": view.age_ms,
            "host": self.0.settings.host,
            "in_flight": Value::Object(in_flight.collect()),
            "in_progress": self.0.in_progress(),
            "leaving": self.0.leaving(),
            "members": view.members.len(),
            "offset": view.offset,
            "rollouts": self.0.rollouts.status(),
            "services": self.0.serving.dispatch.status(),
            "targets": view.targets.len(),
        })
    }

    fn page(&self, path: &str) -> Option<Value> {
        if let Some(id) = path.strip_prefix(EXPLAIN) {
            return match id.parse::<RequestId>() {
                Ok(id) => self.0.serving.journal.explain(id),
                Err(_) => self.0.rollouts.sample_report(&id.parse().ok()?),
            };
        }
        if path == QUARANTINE {
            let now = self.0.serving.now();
            let fingerprints = self.0.serving.suspicion.quarantined(now);
            let fingerprints: Vec<String> = fingerprints
                .iter()
                .map(|fingerprint| format!("{fingerprint:016x}"))
                .collect();
            return Some(json!({ "quarantined": fingerprints }));
        }
        None
    }

    fn act(&self, path: &str) -> Option<Value> {
        let fingerprint = u64::from_str_radix(path.strip_prefix(LIFT)?, 16).ok()?;
        suspicion::lift(&self.0, fingerprint);
        Some(json!({ "lifted": format!("{fingerprint:016x}") }))
    }
}
