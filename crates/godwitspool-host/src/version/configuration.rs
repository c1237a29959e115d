use std::{collections::HashMap, time::Duration};

use godwitspool_types::{Dc, Key, KeyDigest, ModelName, ServiceName, Workspace};
use snafu::Snafu;

use crate::http::Bounds;

/// A complete configuration, as operators have written it.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version of the configuration; grows with each one.
    pub version: u64,
    /// Routes, in no particular order: the longest matching prefix wins.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Limits on callers' requests.
    pub bounds: Bounds,
    /// Workspace of each API key, by the key's digest. Empty if no workspaces are configured.
    pub keys: HashMap<KeyDigest, Workspace>,
    /// Whether callers need an API key, which is so if workspaces are configured.
    pub require_keys: bool,
    /// Priorities of workspaces that have one of their own; 0 is the most urgent.
    pub priorities: HashMap<Workspace, u32>,
}

/// How a route's requests run, and whether they may be retried.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// Requests that must run at most once.
    #[default]
    AtMostOnce,
    /// Batches of items that run in the background.
    Batch,
    /// Requests that may run more than once.
    Idempotent,
    /// Requests whose response is a stream of events.
    Stream,
}

/// A service's share of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Split {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight among the route's services; its share of requests is proportional.
    pub weight: u32,
}

/// A rule for requests to a host and path prefix: the services that serve them, and how.
#[derive(Clone, Debug, Default)]
pub struct Route {
    /// Name of the route, for log lines.
    pub name: String,
    /// Value of the `Host` field, compared without regard to case.
    pub host: String,
    /// Prefix of the path; starts and ends with a slash.
    pub prefix: String,
    /// Kind of its requests.
    pub kind: RouteKind,
    /// Maximum time until the response; a caller's earlier deadline takes precedence.
    pub timeout: Option<Duration>,
    /// Latency goal, from which the hedging delay is derived; `None` uses a default delay.
    pub goal: Option<Duration>,
    /// Priority; 0 is the most urgent. That of the caller's workspace takes precedence.
    pub priority: u32,
    /// Services among which requests are split by weight.
    pub split: Vec<Split>,
    /// Maximum number of targets that one request is sent to. For batches, the number of failed
    /// runs after which an item is given up.
    pub attempts: u32,
    /// Whether callers need no API key.
    pub open: bool,
    /// Whether a stream may be resumed at another target.
    pub resumable: bool,
    /// How long after its submission an item must be retried.
    pub retention: Option<Duration>,
    /// Time from a batch's submission until its results are due.
    pub due: Option<Duration>,
    /// Whether all tokens of a result must come from one version of the model.
    pub single_version: bool,
}

impl Route {
    /// Returns the service for a random number in `0.0..1.0`; `None` if the route has no services.
    pub fn service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.split.iter().map(|split| split.weight).sum();
        let mut left = (draw * f64::from(total)) as u32;
        let chosen = self.split.iter().find(|split| {
            let found = left < split.weight;
            left = left.saturating_sub(split.weight);
            found
        });
        chosen.or(self.split.last()).map(|split| &split.service)
    }
}

/// Settings of a service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Maximum number of connections to one target.
    pub connections: u32,
    /// Models that its targets can load; empty for services without models.
    pub models: Vec<ModelName>,
    /// Number of requests that one target runs concurrently; 0 for services without models.
    pub slots: u32,
    /// Time for which a target is cold after its start; zero if it never is.
    pub cold: Duration,
    /// Requests a second that a cold target takes from all hosts together; `None` is no bound.
    pub cold_rate: Option<f64>,
    /// Limits on the number of ordered targets; `None` if the service isn't scaled.
    pub scaling: Option<Scaling>,
}

/// Limits on the targets of a service that may be ordered in each data centre.
#[derive(Clone, Debug, Default)]
pub struct Scaling {
    /// Minimum number of targets.
    pub min: u32,
    /// Maximum number of targets.
    pub max: u32,
    /// Time from an order until the target serves requests.
    pub boot: Duration,
    /// Price of a target per second in each data centre.
    pub prices: HashMap<Dc, f64>,
}

/// Why a caller may not use a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum AuthorizationError {
    /// The request has no API key, or the key belongs to no workspace.
    #[snafu(display("unknown key"))]
    Key,
}

impl Configuration {
    /// Returns the models that the targets of a service serve; none if there is no such service.
    pub fn models(&self, service: &ServiceName) -> &[ModelName] {
        let service = self.services.get(service);
        service.map_or(&[], |service| &service.models)
    }

    /// Returns the host's route with the longest prefix that matches the path.
    ///
    /// ```
    /// use godwitspool_host::version::{Configuration, Route};
    ///
    /// let route = |prefix: &str| Route {
    ///     host: "a.example".to_owned(),
    ///     prefix: prefix.to_owned(),
    ///     ..Route::default()
    /// };
    /// let configuration = Configuration {
    ///     routes: vec![route("/a/"), route("/a/b/")],
    ///     ..Configuration::default()
    /// };
    /// let found = configuration.route("a.example", "/a/b/c").unwrap();
    /// assert_eq!(found.prefix, "/a/b/");
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self
            .routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host));
        let fitting = routes.filter(|route| path.starts_with(&route.prefix));
        fitting.max_by_key(|route| route.prefix.len())
    }

    /// Returns the priority of a request, 0 for the most urgent: that of its workspace, else that of its
    /// route.
    ///
    /// ```
    /// use godwitspool_host::version::{Configuration, Route};
    /// use godwitspool_types::Workspace;
    ///
    /// let (weddings, others) = (Workspace::from("weddings"), Workspace::from("others"));
    /// let configuration = Configuration {
    ///     priorities: [(weddings.clone(), 2)].into(),
    ///     ..Configuration::default()
    /// };
    /// let route = Route { priority: 1, ..Route::default() };
    /// assert_eq!(configuration.priority(&route, Some(&weddings)), 2);
    /// assert_eq!(configuration.priority(&route, Some(&others)), 1);
    /// assert_eq!(configuration.priority(&route, None), 1);
    /// ```
    pub fn priority(&self, route: &Route, workspace: Option<&Workspace>) -> u32 {
        let own = workspace.and_then(|workspace| self.priorities.get(workspace));
        own.copied().unwrap_or(route.priority)
    }

    /// Returns the workspace of a key; `None` on open routes and if callers need no keys.
    ///
    /// # Errors
    ///
    /// Fails if the route needs a key, and the key is missing or unknown.
    pub fn workspace(
        &self,
        route: Option<&Route>,
        key: Option<&Key>,
    ) -> Result<Option<Workspace>, AuthorizationError> {
        if !self.require_keys || route.is_some_and(|route| route.open) {
            return Ok(None);
        }
        let workspace = key.and_then(|key| self.keys.get(&key.digest()));
        workspace.cloned().map(Some).ok_or(AuthorizationError::Key)
    }
}
