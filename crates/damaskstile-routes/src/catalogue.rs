//! `catalogue` is one version of what operators say, made for look-ups.

use std::sync::Arc;

use damaskstile_core::prelude::*;

use crate::account::Account;
use crate::errors::{Error, Result};
use crate::limits::Limits;
use crate::route::Route;
use crate::service::Service;

/// `Catalogue` is one version of the routes, services and client accounts.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    version: Version,
    limits: Limits,
    /// Routes of a host, by path prefix.
    routes: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    services: BTreeMap<ServiceId, Service>,
    accounts: BTreeMap<AccountId, Account>,
    account_of_key: BTreeMap<String, AccountId>,
}

impl Catalogue {
    /// Makes a catalogue after checking it.
    ///
    /// # Errors
    ///
    /// Returns an error where two routes or two accounts collide or a route leads nowhere. Such
    /// a version is refused whole, because half of it in force would be a state nobody asked for.
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
            limits,
            ..Self::default()
        };
        for service in services {
            catalogue.services.insert(service.name.clone(), service);
        }
        for route in routes {
            catalogue.add_route(route)?;
        }
        for account in accounts {
            catalogue.add_account(account)?;
        }
        Ok(catalogue)
    }

    fn add_route(&mut self, route: Route) -> Result<()> {
        let is_closed = route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/');
        if !is_closed {
            return Err(Error::BadPrefix(route.path_prefix));
        }
        for share in &route.shares {
            if !self.services.contains_key(&share.service) {
                return Err(Error::UnknownService(share.service.clone()));
            }
        }
        let of_host = self.routes.entry(route.host.clone()).or_default();
        if of_host.contains_key(&route.path_prefix) {
            return Err(Error::RouteTwice(route.name));
        }
        of_host.insert(route.path_prefix.clone(), Arc::new(route));
        Ok(())
    }

    fn add_account(&mut self, account: Account) -> Result<()> {
        for key in &account.keys {
            let known = self
                .account_of_key
                .insert(key.clone(), account.name.clone());
            if known.is_some_and(|other| other != account.name) {
                return Err(Error::KeyTwice(account.name));
            }
        }
        self.accounts.insert(account.name.clone(), account);
        Ok(())
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Finds the route of a call: the longest prefix of the host that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.get(host)?;
        // Each prefix ends with a slash, so only the path's own cuts at slashes can match.
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = of_host.get(&path[..=slash]) {
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

    /// Returns the most urgent rank of all streams; 0 where there are none.
    ///
    /// ```
    /// assert_eq!(damaskstile_routes::Catalogue::default().first_stream_rank(), 0);
    /// ```
    #[must_use]
    pub fn first_stream_rank(&self) -> u8 {
        let routes = self.routes.values().flat_map(BTreeMap::values);
        let streams = routes.filter(|route| route.kind.is_stream());
        streams.map(|route| route.priority).min().unwrap_or(0)
    }

    /// Returns the account that calls with a key.
    #[must_use]
    pub fn account_of_key(&self, key: &str) -> Option<&Account> {
        let name = self.account_of_key.get(key)?;
        self.accounts.get(name)
    }

    /// Tells whether calls need the key of an account at all.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the tokens that each prepaid account has bought.
    #[must_use]
    pub fn prepaid_tokens(&self) -> BTreeMap<AccountId, u64> {
        self.accounts
            .values()
            .filter_map(|account| Some((account.name.clone(), account.prepaid_tokens?)))
            .collect()
    }
}
