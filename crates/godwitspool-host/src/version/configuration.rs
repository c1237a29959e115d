use std::{collections::HashMap, time::Duration};

use godwitspool_types::{Dc, Key, KeyDigest, ModelName, ServiceName, Workspace};
use snafu::Snafu;

use crate::http::Bounds;

/// A whole configuration of the operators.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Grows with each configuration.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// What callers may send.
    pub bounds: Bounds,
    /// Whose a key is. Empty where no workspaces are configured.
    pub keys: HashMap<KeyDigest, Workspace>,
    /// Whether callers need keys.
    pub require_keys: bool,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// Requests that may run at most once.
    #[default]
    AtMostOnce,
    /// Batches of items that run later.
    Batch,
    /// Requests that may run more than once.
    Idempotent,
    /// Streams of events.
    Stream,
}

/// A service's share of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Split {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// Which requests go to which services, and how.
#[derive(Clone, Debug, Default)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Value of the host field.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub timeout: Option<Duration>,
    /// Time within which an answer is worth most.
    pub goal: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services that serve it.
    pub split: Vec<Split>,
    /// Targets that one request may be sent to.
    pub attempts: u32,
    /// Whether no key is needed.
    pub open: bool,
    /// Whether a stream may go on at another target.
    pub resumable: bool,
    /// How long after its submission an item must be tried.
    pub retention: Option<Duration>,
    /// When the results of a batch are due after its submission.
    pub due: Option<Duration>,
    /// Whether a result may hold tokens of one version only.
    pub single_version: bool,
}

impl Route {
    /// Returns the service for a draw in `0.0..1.0`.
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

/// What operators say of a service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Connections that one target takes.
    pub connections: u32,
    /// Models, for services of engines.
    pub models: Vec<ModelName>,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// How many targets may be ordered.
    pub scaling: Option<Scaling>,
}

/// How many targets of a service may be ordered in each data centre.
#[derive(Clone, Debug, Default)]
pub struct Scaling {
    /// Least number.
    pub min: u32,
    /// Greatest number.
    pub max: u32,
    /// Time until an ordered target serves.
    pub boot: Duration,
    /// Price of a target's second by data centre.
    pub prices: HashMap<Dc, f64>,
}

/// Why a caller isn't admitted to a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum AuthorizationError {
    /// No workspace has the key, or there is none.
    #[snafu(display("unknown key"))]
    Key,
}

impl Configuration {
    /// Returns the route with the longest prefix of a path among those of a host.
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

    /// Returns the workspace that a key belongs to; `None` on open routes and where no keys are
    /// configured.
    ///
    /// # Errors
    ///
    /// When the route needs a key that no workspace has.
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
