//! Interfaces to the platform: translation of its messages, and the calls that only a lease holder
//! makes.

use std::{net::SocketAddr, time::Duration};

use godwitspool_types::{Dc, Key, Millis, ModelName, ServiceName, TargetName, Workspace};
use snafu::Snafu;

use crate::{
    batch::{ItemView, Prompt, ResultPage, ScoreCall, Submission},
    http::{Request, Response},
    version::{Configuration, Route, TargetEntry},
};

/// Why a submission wasn't read.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SubmissionError {
    /// The request is malformed.
    #[snafu(display("{reason}"))]
    Invalid {
        /// What is wrong, and where.
        reason: String,
    },
    /// There is no memory for its items.
    #[snafu(display("no memory for its items"))]
    NoMemory,
}

/// A caller's request in the project's types.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Identifier that the caller gave the request, if any.
    pub id: Option<String>,
    /// How long the caller waits for the response; `None` if it states no limit.
    pub deadline: Option<Duration>,
    /// The caller's API key.
    pub key: Option<Key>,
    /// How long a read of results may wait for the first one (long poll).
    pub wait: Option<Duration>,
    /// Value of the `Host` field without its port; selects the route.
    pub host: String,
    /// The operation that the request asks for.
    pub kind: CallKind,
}

impl Call {
    /// Returns the request's identifier for log lines, `none` if it has no identifier.
    pub fn request(&self) -> &str {
        self.id.as_deref().unwrap_or("none")
    }
}

/// The operation that a request asks for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum CallKind {
    /// A request for a route: it is forwarded to a target or submits a batch.
    #[default]
    Routed,
    /// Reads the results of a batch, starting at a position.
    ReadBatch {
        /// Identifier of the batch.
        batch: String,
        /// Position of the first result to return.
        after: u64,
    },
    /// Reads the request body of an item.
    ReadItem {
        /// Identifier of the batch.
        batch: String,
        /// Identifier of the item within the batch.
        item: String,
    },
    /// Ends a batch: no further item of it runs.
    EndBatch {
        /// Identifier of the batch.
        batch: String,
    },
    /// An order to a target, which no caller may give.
    TargetOrder,
    /// Asks for a batch under an identifier that no batch can have.
    UnknownBatch,
}

/// What is added to a request when it is forwarded to a target.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// The intended target. Another target that has taken over the address refuses the request.
    pub target: &'a TargetName,
    /// Workspace of the caller's key; `None` on routes that need no key.
    pub workspace: Option<&'a Workspace>,
    /// Time that remains until the deadline; `None` for items of a batch.
    pub remaining: Option<Duration>,
    /// Number of the last event already received: the target resumes the stream after it.
    pub resume_after: Option<u64>,
    /// Version of the model that must serve the request; `None` allows any version.
    pub version: Option<u64>,
}

/// Header fields of a target's response that the host evaluates.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// Identifier of the request to which the response belongs.
    pub id: Option<String>,
    /// Whether the target states that it leaves.
    pub leaving: bool,
    /// Requests a second that the target takes from all hosts together; `None` if it names no limit.
    pub limit: Option<f64>,
    /// How long the target stays cold; `None` if it doesn't say.
    pub cold_left: Option<Millis>,
    /// Whether the target states that it has not run the request.
    pub not_run: bool,
    /// The target's signature over the response, if it carries one.
    pub signature: Option<String>,
    /// Version of the model that served the request.
    pub version: Option<u64>,
}

/// A record that operators have written.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// A complete configuration; it replaces the earlier one.
    Configuration(Box<Configuration>),
    /// A data centre is evacuated or restored.
    Evacuation {
        /// Name of the data centre.
        dc: Dc,
        /// Whether it is evacuated from now on.
        active: bool,
    },
    /// The newest version of a model, which targets should load.
    Version {
        /// Name of the model.
        model: ModelName,
        /// Number of the version.
        version: u64,
    },
}

/// An order to a target to load a version of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The intended target; another one at the address refuses the order.
    pub target: TargetName,
    /// Address to which the order is sent.
    pub address: SocketAddr,
    /// Start of the intended target.
    pub born: u64,
    /// Name of the model.
    pub model: ModelName,
    /// The version to load.
    pub version: u64,
    /// What happens to the model's running requests.
    pub mode: LoadMode,
}

/// What a target does with a model's running requests when it loads a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadMode {
    /// They continue under the new version.
    Continue,
    /// They finish before the version is loaded.
    Wait,
}

/// A target's response to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ordered {
    /// The target has begun to load the version.
    Accepted,
    /// The target already has the version.
    Holds,
    /// The target is carrying out another order.
    Busy,
    /// The target has seen a higher fencing token.
    Fenced,
    /// Another target responded, or the order was refused for another reason.
    Refused,
}

/// Holder and fencing token of a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fence {
    /// Name of the host that holds the duty.
    pub holder: String,
    /// Fencing token; it grows whenever the holder changes.
    pub token: u64,
}

/// Translates between the platform's messages and the project's types. Implementations do no I/O.
pub trait Dialect: Send + Sync {
    /// Reads a caller's request.
    fn call(&self, request: &Request) -> Call;

    /// Returns a caller's request as it is sent to a target: without the key, and with the fields
    /// of `context`.
    fn forward_request(&self, request: &Request, context: &ForwardContext<'_>) -> Request;

    /// Returns the request that runs an item of a batch at a target.
    fn item_request(
        &self,
        batch: &Submission,
        item: &ItemView<'_>,
        context: &ForwardContext<'_>,
    ) -> Request;

    /// Reads what the header fields of an item tell of its prompt.
    fn prompt(&self, item: &ItemView<'_>) -> Prompt;

    /// Returns the request of a reward call. It carries no key and no workspace.
    fn score_request(&self, call: &ScoreCall, context: &ForwardContext<'_>) -> Request;

    /// Reads the header fields of a target's response.
    fn reply(&self, response: &Response) -> Reply;

    /// Returns a refusal, which states that the request has not run and won't run, and asks the
    /// caller to retry after `retry_after`.
    fn refusal(&self, retry_after: Duration) -> Response;

    /// Reads a submission of a batch. `reserve` is asked before its items take more memory, with the number of
    /// bytes that they take then.
    ///
    /// # Errors
    ///
    /// Fails if the request is malformed, or the memory for it was refused.
    fn submission(
        &self,
        request: &Request,
        call: &Call,
        route: &Route,
        workspace: &Workspace,
        reserve: &mut dyn FnMut(usize) -> bool,
    ) -> Result<Submission, SubmissionError>;

    /// Encodes a page of results for the caller.
    fn results(&self, page: &ResultPage) -> Response;

    /// Reads an event of a token stream from its lines.
    fn event(&self, lines: &[u8]) -> StreamEvent;

    /// Reads a record that operators have written; `None` for records of other kinds.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the record and where.
    fn operator_record(&self, key: &str, value: &[u8]) -> Result<Option<OperatorRecord>, String>;

    /// Reads the removal of a record that operators had written; `None` if the removal means nothing.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the key.
    fn operator_removal(&self, key: &str) -> Result<Option<OperatorRecord>, String>;

    /// Reads the entry with which a target registers itself, and the target's own number of it, if it tells one,
    /// which grows with each entry of one start.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the entry and where.
    fn target_entry(&self, key: &str, value: &[u8]) -> Result<(TargetEntry, Option<u64>), String>;

    /// Returns the request that orders a target to load a version.
    fn load_order(&self, order: &LoadOrder, fence: &Fence) -> Request;

    /// Reads a target's response to an order.
    fn ordered(&self, response: &Response) -> Ordered;
}

/// An event of a token stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamEvent {
    /// Number of the event. The data of an event without a number is ignored.
    pub number: Option<u64>,
    /// Version of the model from this event on; `None` if it has not changed.
    pub version: Option<u64>,
    /// Data lines of the event, joined with line feeds.
    pub data: Vec<u8>,
}

/// Requests of a usage window by workspace.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WindowReport {
    /// Number of the window.
    pub window: u64,
    /// Workspaces with the number of requests that began in the window.
    pub counts: Vec<(Workspace, u64)>,
}

/// Calls to the platform that only the host with the duties' lease makes.
pub trait Duties: Send + Sync {
    /// Reports the requests of a usage window.
    ///
    /// # Errors
    ///
    /// Fails unless the platform confirms the report.
    fn report(&self, report: &WindowReport, fence: &Fence) -> Result<(), DutyError>;

    /// Orders a number of targets of a service in a data centre.
    ///
    /// # Errors
    ///
    /// Fails unless the platform confirms the order.
    fn scale(
        &self,
        service: &ServiceName,
        dc: &Dc,
        count: u32,
        fence: &Fence,
    ) -> Result<(), DutyError>;
}

/// Why a call of [`Duties`] failed.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum DutyError {
    /// The platform has seen a higher fencing token: another host holds the duties.
    #[snafu(display("fenced: the platform has seen a higher fencing token"))]
    Fenced,
    /// The call failed or its outcome is unknown; it may be retried.
    #[snafu(display("{reason}"))]
    Failed {
        /// The underlying error, or the status and body of the response.
        reason: String,
    },
}
