//! The edge to callers, targets and operators: what the platform's messages mean.

use std::{net::SocketAddr, time::Duration};

use godwitspool_types::{Key, ModelName, ServiceName, TargetName, Workspace};

use crate::{
    batch::{ItemSpec, ResultPage, Submission},
    http::{Request, Response},
    version::{Configuration, Route, TargetEntry},
};

/// What a caller's request asks for.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The request's identifier.
    pub id: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<Key>,
    /// How long an empty answer may be held back until there is something to tell.
    pub wait: Option<Duration>,
    /// Host of the route.
    pub host: String,
    /// What is asked.
    pub kind: CallKind,
}

impl Call {
    /// Returns the request's identifier as it stands in log lines.
    pub fn request(&self) -> &str {
        self.id.as_deref().unwrap_or("none")
    }
}

/// The kinds of calls.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum CallKind {
    /// Whatever the route says.
    #[default]
    Routed,
    /// Results of a batch from a position on.
    ReadBatch {
        /// The batch.
        batch: String,
        /// First position.
        after: u64,
    },
    /// The body of an item that isn't listed yet.
    ReadItem {
        /// The batch.
        batch: String,
        /// The item.
        item: String,
    },
    /// The end of a batch.
    EndBatch {
        /// The batch.
        batch: String,
    },
}

/// What a target is told beside the caller's own request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// The target that is meant: another at the same address refuses.
    pub target: &'a TargetName,
    /// Whose request it is.
    pub workspace: Option<&'a Workspace>,
    /// Time left for the answer.
    pub remaining: Option<Duration>,
    /// Number of the last event already received: the stream goes on behind it.
    pub resume_after: Option<u64>,
    /// The only version of the model that may serve.
    pub version: Option<u64>,
}

/// What a target's answer says beside its status and body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    /// The request that is answered.
    pub id: Option<String>,
    /// Whether the target says that the request has not run.
    pub not_run: bool,
    /// Whether the answer bears the target's signature.
    pub signed: bool,
    /// Version of the weights.
    pub version: Option<u64>,
}

/// A record of the operators.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// A whole configuration.
    Configuration(Box<Configuration>),
    /// The newest version of a model.
    Version {
        /// The model.
        model: ModelName,
        /// Its newest version.
        version: u64,
    },
}

/// An order to a target to load a version of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The target.
    pub target: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// The model.
    pub model: ModelName,
    /// The version to load.
    pub version: u64,
    /// What happens to the model's running requests.
    pub mode: LoadMode,
}

/// What happens to running requests when a version is loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadMode {
    /// They go on under the new version.
    Continue,
    /// They finish first.
    Wait,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ordered {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is in progress.
    Busy,
    /// A higher fencing token was seen.
    Fenced,
    /// The target is another one, or the order is refused for another reason.
    Refused,
}

/// Holder and fencing token of a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fence {
    /// The holder's name.
    pub holder: String,
    /// Grows whenever the holder changes.
    pub token: u64,
}

/// Translates between the platform's messages and the project's types. Pure: no input or output.
pub trait Dialect: Send + Sync {
    /// Reads what a caller's request asks for.
    fn call(&self, request: &Request) -> Call;

    /// Returns the request for a target: the caller's, without its key and with what the target is
    /// told.
    fn forward_request(&self, request: &Request, context: &ForwardContext<'_>) -> Request;

    /// Returns the request of a batch's item for a target.
    fn item_request(
        &self,
        batch: &Submission,
        item: &ItemSpec,
        context: &ForwardContext<'_>,
    ) -> Request;

    /// Reads what a target's answer says.
    fn reply(&self, response: &Response) -> Reply;

    /// Returns a refusal that promises that the request has not run and won't.
    fn refusal(&self, retry_after: Duration) -> Response;

    /// Reads a submission of a batch.
    ///
    /// # Errors
    ///
    /// With what is wrong and where.
    fn submission(
        &self,
        request: &Request,
        call: &Call,
        route: &Route,
        workspace: &Workspace,
    ) -> Result<Submission, String>;

    /// Returns results as the caller reads them.
    fn results(&self, page: &ResultPage) -> Response;

    /// Reads the value of a stream's event: `Some` version if the event begins under another one,
    /// and the event's data.
    fn event(&self, lines: &[u8]) -> StreamEvent;

    /// Reads a record of the operators; `None` for records of other kinds.
    ///
    /// # Errors
    ///
    /// With what is wrong and where.
    fn operator_record(&self, key: &str, value: &[u8]) -> Result<Option<OperatorRecord>, String>;

    /// Reads what a target says of itself.
    ///
    /// # Errors
    ///
    /// With what is wrong and where.
    fn target_entry(&self, key: &str, value: &[u8]) -> Result<TargetEntry, String>;

    /// Returns the request that orders a target to load a version.
    fn load_order(&self, order: &LoadOrder, fence: &Fence) -> Request;

    /// Reads the answer to an order.
    fn ordered(&self, response: &Response) -> Ordered;
}

/// An event of a token stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamEvent {
    /// Number of the event.
    pub number: Option<u64>,
    /// Version of the weights from this event on, if it has changed.
    pub version: Option<u64>,
    /// Data of the event.
    pub data: Vec<u8>,
}

/// A window's requests by workspace.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WindowReport {
    /// Number of the window.
    pub window: u64,
    /// Requests that began in it.
    pub counts: Vec<(Workspace, u64)>,
}

/// The platform's calls that one host at a time makes.
pub trait Duties: Send + Sync {
    /// Reports a window.
    ///
    /// # Errors
    ///
    /// When the report isn't known to be taken.
    fn report(&self, report: &WindowReport, fence: &Fence) -> Result<(), DutyError>;

    /// Orders a number of targets of a service in a data centre.
    ///
    /// # Errors
    ///
    /// When the order isn't known to be taken.
    fn scale(
        &self,
        service: &ServiceName,
        dc: &godwitspool_types::Dc,
        count: u32,
        fence: &Fence,
    ) -> Result<(), DutyError>;
}

/// Why a duty's call failed.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
pub enum DutyError {
    /// A higher fencing token was seen.
    #[snafu(display("a higher fencing token was seen"))]
    Fenced,
    /// The call failed or its outcome is unknown; it may be repeated.
    #[snafu(display("{reason}"))]
    Failed {
        /// Why.
        reason: String,
    },
}
