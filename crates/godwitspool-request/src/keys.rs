//! Authorization of requests: API keys, open routes and the names of services.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{BuildHasher, RandomState},
};

use godwitspool_types::{KeyDigest, Millis, RequestId, ServiceName, Workspace};
use godwitspool_version::{Configuration, UnconfirmedKeys};

use crate::Reason;

/// The workspace that calls, and the service that it calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Qualified name of the service.
    pub service: ServiceName,
    /// The workspace; empty on an open route without a key.
    pub workspace: Workspace,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    digest: KeyDigest,
    withdrawn: bool,
    workspace: Workspace,
}

#[derive(Clone, Debug, Default)]
struct Rules {
    services: BTreeMap<ServiceName, ServiceName>,
    unconfirmed: UnconfirmedKeys,
}

/// The API keys of a configuration, by digest.
///
/// Digests are looked up by a hash with a random seed per process and compared in constant time. A
/// lookup of an unknown key also makes a comparison.
///
/// ```
/// use godwitspool_request::{KeyTable, Reason};
/// use godwitspool_types::{Key, Millis, ServiceName};
/// use godwitspool_version::Configuration;
///
/// let table = KeyTable::from(&Configuration::default());
/// let digest = Key::from("guess").digest();
/// let refused = table.check(Some(&digest), &ServiceName::from("lookup"), Millis::ZERO);
/// assert_eq!(refused, Err(Reason::KeyUnknown));
/// ```
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    buckets: HashMap<u64, Vec<KeyEntry>>,
    open: BTreeSet<ServiceName>,
    rules: BTreeMap<Workspace, Rules>,
    seed: RandomState,
    services: BTreeSet<ServiceName>,
}

impl KeyTable {
    /// Finds the caller of a request from the digest of its key, or from the route if that is open.
    ///
    /// `age` is the time since the configuration was last confirmed.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is refused.
    pub fn check(
        &self,
        digest: Option<&KeyDigest>,
        service: &ServiceName,
        age: Millis,
    ) -> Result<Caller, Reason> {
        let Some(digest) = digest else {
            return self.check_open(service);
        };
        let key_entry = self.find(digest).ok_or(Reason::KeyUnknown)?;
        if key_entry.withdrawn {
            return Err(Reason::KeyWithdrawn);
        }
        let rules = self
            .rules
            .get(&key_entry.workspace)
            .ok_or(Reason::KeyUnknown)?;
        if let UnconfirmedKeys::RefuseAfterS(seconds) = rules.unconfirmed
            && age > Millis(u64::from(seconds) * 1_000)
        {
            return Err(Reason::KeysUnconfirmed);
        }
        let service = rules
            .services
            .get(service)
            .or_else(|| self.open.get(service))
            .ok_or(Reason::ServiceUnknown)?;
        Ok(Caller {
            service: service.clone(),
            workspace: key_entry.workspace.clone(),
        })
    }

    /// Returns the requests in `open` whose key is no longer accepted, so that they can be cut.
    ///
    /// `age` is the time since the configuration was last confirmed.
    ///
    /// ```
    /// use godwitspool_request::KeyTable;
    /// use godwitspool_types::{Key, Millis, RequestId};
    ///
    /// let table = KeyTable::default();
    /// let open = [(RequestId(1), Key::from("k").digest())];
    /// assert_eq!(table.unauthorized(&open, Millis::ZERO), [RequestId(1)]);
    /// ```
    pub fn unauthorized(&self, open: &[(RequestId, KeyDigest)], age: Millis) -> Vec<RequestId> {
        open.iter()
            .filter(|(_, digest)| !self.accepts(digest, age))
            .map(|&(id, _)| id)
            .collect()
    }

    fn accepts(&self, digest: &KeyDigest, age: Millis) -> bool {
        let Some(key_entry) = self.find(digest).filter(|key_entry| !key_entry.withdrawn) else {
            return false;
        };
        match self
            .rules
            .get(&key_entry.workspace)
            .map(|rules| rules.unconfirmed)
        {
            Some(UnconfirmedKeys::RefuseAfterS(seconds)) => {
                age <= Millis(u64::from(seconds) * 1_000)
            }
            Some(UnconfirmedKeys::Serve) => true,
            None => false,
        }
    }

    fn check_open(&self, service: &ServiceName) -> Result<Caller, Reason> {
        let service = self.open.get(service).ok_or(Reason::KeyMissing)?;
        if !self.services.contains(service) {
            return Err(Reason::ServiceUnknown);
        }
        Ok(Caller {
            service: service.clone(),
            workspace: Workspace::default(),
        })
    }

    fn find(&self, digest: &KeyDigest) -> Option<&KeyEntry> {
        let Some(bucket) = self.buckets.get(&self.seed.hash_one(digest)) else {
            // A miss also makes a comparison, so that it takes as long as a hit.
            std::hint::black_box(digest.matches(&KeyDigest([0; 32])));
            return None;
        };
        let mut found = None;
        for key_entry in bucket {
            // If a digest is listed several times, a withdrawn entry takes precedence.
            if key_entry.digest.matches(digest)
                && found.is_none_or(|other: &KeyEntry| !other.withdrawn)
            {
                found = Some(key_entry);
            }
        }
        found
    }
}

impl From<&Configuration> for KeyTable {
    fn from(configuration: &Configuration) -> Self {
        let mut table = Self {
            open: configuration.open_routes.clone(),
            services: configuration.services.keys().cloned().collect(),
            ..Self::default()
        };
        for (workspace, rules) in &configuration.workspaces {
            let services = rules
                .services
                .iter()
                .map(|(name, target)| (name.clone(), target.service.clone()))
                .collect();
            let unconfirmed = rules.unconfirmed_keys;
            table.rules.insert(
                workspace.clone(),
                Rules {
                    services,
                    unconfirmed,
                },
            );
            for key in &rules.keys {
                let key_entry = KeyEntry {
                    digest: key.digest,
                    withdrawn: key.withdrawn,
                    workspace: workspace.clone(),
                };
                let hash = table.seed.hash_one(key.digest);
                table.buckets.entry(hash).or_default().push(key_entry);
            }
        }
        table
    }
}
