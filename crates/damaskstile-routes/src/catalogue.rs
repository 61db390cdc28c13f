//! One version of the routes, services and client accounts, indexed for look-ups.

use std::sync::Arc;

use damaskstile_core::prelude::*;

use crate::account::Account;
use crate::call_class::CallClass;
use crate::errors::{Error, Result};
use crate::limits::Limits;
use crate::route::Route;
use crate::service::Service;

/// `Catalogue` is one version of the routes, services and client accounts that operators define.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    version: Version,
    limits: Limits,
    /// Routes by host, then by path prefix.
    routes: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    services: BTreeMap<ServiceId, Service>,
    /// Classes of the streaming routes of each service.
    stream_classes: BTreeMap<ServiceId, BTreeSet<CallClass>>,
    accounts: BTreeMap<AccountId, Account>,
    account_of_key: BTreeMap<String, AccountId>,
}

impl Catalogue {
    /// Checks the entries and builds a catalogue of them. Numbers that are too large to compute with
    /// are lowered.
    ///
    /// # Errors
    ///
    /// Returns an error if a path prefix is malformed, if two routes have the same host and path
    /// prefix, if two accounts have the same key, or if a route refers to an unknown service. Such
    /// a version is refused as a whole, because applying a part of it would create a configuration
    /// that no operator asked for.
    ///
    /// ```
    /// use damaskstile_routes::{Catalogue, Limits};
    /// let catalogue = Catalogue::try_new(3, Limits::default(), vec![], vec![], vec![]).unwrap();
    /// assert!(catalogue.route("example", "/a/b").is_none());
    /// ```
    pub fn try_new(
        version: Version,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Vec<Account>,
    ) -> Result<Self> {
        let mut catalogue = Self {
            version,
            limits: limits.bounded(),
            ..Self::default()
        };
        for service in services {
            let service = service.bounded();
            catalogue.services.insert(service.name.clone(), service);
        }
        for route in routes {
            catalogue.add_route(route.bounded())?;
        }
        for account in accounts {
            catalogue.add_account(account.bounded())?;
        }
        Ok(catalogue)
    }

    fn add_route(&mut self, route: Route) -> Result<()> {
        let is_delimited = route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/');
        if !is_delimited {
            return Err(Error::InvalidPrefix(route.path_prefix));
        }
        for share in &route.shares {
            if !self.services.contains_key(&share.service) {
                return Err(Error::UnknownService(share.service.clone()));
            }
        }
        if route.kind.is_stream() {
            for share in &route.shares {
                let classes = self
                    .stream_classes
                    .entry(share.service.clone())
                    .or_default();
                classes.insert(route.class(route.priority));
            }
        }
        let routes_of_host = self.routes.entry(route.host.clone()).or_default();
        if routes_of_host.contains_key(&route.path_prefix) {
            return Err(Error::DuplicateRoute(route.name));
        }
        routes_of_host.insert(route.path_prefix.clone(), Arc::new(route));
        Ok(())
    }

    fn add_account(&mut self, account: Account) -> Result<()> {
        for key in &account.keys {
            let previous = self
                .account_of_key
                .insert(key.clone(), account.name.clone());
            if previous.is_some_and(|other| other != account.name) {
                return Err(Error::DuplicateKey(account.name));
            }
        }
        self.accounts.insert(account.name.clone(), account);
        Ok(())
    }

    /// Returns the version of the catalogue.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits for callers.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the route of a call: the one with the longest path prefix of the host that matches.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes_of_host = self.routes.get(host)?;
        // Each prefix ends with a slash, so only the parts of the path that end with one can match.
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes_of_host.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns the names of all routes.
    #[must_use]
    pub fn route_names(&self) -> BTreeSet<String> {
        self.routes
            .values()
            .flat_map(BTreeMap::values)
            .map(|route| route.name.clone())
            .collect()
    }

    /// Returns the most urgent priority of all streaming routes; 0 if there are none.
    ///
    /// ```
    /// assert_eq!(damaskstile_routes::Catalogue::default().most_urgent_stream_priority(), 0);
    /// ```
    #[must_use]
    pub fn most_urgent_stream_priority(&self) -> u8 {
        let routes = self.routes.values().flat_map(BTreeMap::values);
        let streams = routes.filter(|route| route.kind.is_stream());
        streams.map(|route| route.priority).min().unwrap_or(0)
    }

    /// Returns whether calls of a class are bulk work beside a more urgent stream of the same
    /// service.
    #[must_use]
    pub fn is_bulk(&self, service: &str, class: &CallClass) -> bool {
        let others = self.stream_classes.get(service).into_iter().flatten();
        others.into_iter().any(|other| class.is_bulk_beside(other))
    }

    /// Returns whether no streaming route of a service is more urgent than a priority.
    ///
    /// ```
    /// use damaskstile_routes::Catalogue;
    /// assert!(Catalogue::default().is_most_urgent_stream("model", 3));
    /// ```
    #[must_use]
    pub fn is_most_urgent_stream(&self, service: &str, priority: u8) -> bool {
        let mut others = self.stream_classes.get(service).into_iter().flatten();
        others.all(|other| priority <= other.priority)
    }

    /// Returns the account that a bearer key belongs to.
    #[must_use]
    pub fn account_of_key(&self, key: &str) -> Option<&Account> {
        let name = self.account_of_key.get(key)?;
        self.accounts.get(name)
    }

    /// Returns an account by name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.get(name)
    }

    /// Returns whether the catalogue has accounts. If it has none, calls need no key.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the number of tokens bought by each prepaid account.
    #[must_use]
    pub fn prepaid_tokens(&self) -> BTreeMap<AccountId, u64> {
        self.accounts
            .values()
            .filter_map(|account| Some((account.name.clone(), account.prepaid_tokens?)))
            .collect()
    }
}
