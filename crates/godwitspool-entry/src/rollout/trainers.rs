//! Trainers' requests: `/v1/trainers/TRAINER/steps/STEP/{groups,batch,ack}`.

use std::sync::Arc;

use tiny_http::Request;

use crate::{connection::answer, process::shared::Shared, request::refusal::Refusal};

/// Answers a trainer's request. `rest` is the path behind `/v1/trainers/`.
pub(crate) fn handle(request: Request, rest: &str, shared: &Arc<Shared>) {
    log::debug!(path = rest, host:% = shared.settings.host; "trainer's path");
    answer::refuse(request, &Refusal::UnknownPath);
}
