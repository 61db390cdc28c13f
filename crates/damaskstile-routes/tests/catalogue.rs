//! Tests of look-ups in a catalogue, and of versions that must not be applied.

use std::collections::BTreeSet;
use std::time::Duration;

use assert_matches::assert_matches;
use damaskstile_routes::{
    Account, Catalogue, CatalogueInForce, Error, Limits, Route, RouteKind, Service, Share,
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "host".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        shares: vec![Share {
            service: "s".to_owned(),
            weight: 1,
        }],
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        pause_limit: None,
        priority: 0,
        attempts_max: 1,
        is_anonymous: false,
        home_regions: BTreeSet::new(),
    }
}

fn account(name: &str, key: &str) -> Account {
    Account {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        priority: None,
        prepaid_tokens: Some(10),
        home_regions: BTreeSet::new(),
    }
}

fn catalogue(version: u64, routes: Vec<Route>, accounts: Vec<Account>) -> Result<Catalogue, Error> {
    let services = vec![Service::plain("s", 10)];
    Catalogue::try_new(version, Limits::default(), routes, services, accounts)
}

#[test]
fn the_longest_matching_path_prefix_wins() {
    // Arrange
    let routes = vec![route("a", "/a/"), route("ab", "/a/b/"), route("all", "/")];
    let catalogue = catalogue(1, routes, vec![]).unwrap();
    let found = |path: &str| {
        catalogue
            .route("host", path)
            .map(|route| route.name.clone())
    };

    // Act and assert
    assert_eq!(found("/a/b/c").as_deref(), Some("ab"));
    assert_eq!(found("/a/b").as_deref(), Some("a"));
    assert_eq!(found("/ab/").as_deref(), Some("all"));
    assert_eq!(found("").as_deref(), None);
    assert!(catalogue.route("other", "/a/").is_none());
}

#[test]
fn inconsistent_catalogues_are_refused_as_a_whole() {
    let duplicates = vec![route("a", "/a/"), route("b", "/a/")];
    assert_matches!(
        catalogue(1, duplicates, vec![]),
        Err(Error::DuplicateRoute(_))
    );
    assert_matches!(
        catalogue(1, vec![route("a", "/a")], vec![]),
        Err(Error::InvalidPrefix(_))
    );
    let mut dangling = route("a", "/a/");
    dangling.shares[0].service = "none".to_owned();
    assert_matches!(
        catalogue(1, vec![dangling], vec![]),
        Err(Error::UnknownService(_))
    );
    let accounts = vec![account("x", "k"), account("y", "k")];
    assert_matches!(catalogue(1, vec![], accounts), Err(Error::DuplicateKey(_)));
}

#[test]
fn an_older_version_is_never_applied() {
    // Guards against a removed key that works again. A peer that was partitioned sends the version
    // that it still has, and the latest message is taken for the latest version.

    // Arrange
    let mut in_force = CatalogueInForce::default();
    let with_key = catalogue(5, vec![], vec![account("x", "k")]).unwrap();
    let without_key = catalogue(6, vec![], vec![]).unwrap();

    // Act
    let applied = [
        in_force.apply(Duration::from_secs(1), with_key.clone()),
        in_force.apply(Duration::from_secs(2), without_key),
        in_force.apply(Duration::from_secs(3), with_key),
    ];

    // Assert
    assert_eq!(applied, [true, true, false]);
    let catalogue = in_force.get().unwrap();
    assert!(catalogue.account_of_key("k").is_none());
    assert_eq!(in_force.age(Duration::from_secs(5)), Duration::from_secs(3));
}

#[test]
fn numbers_too_large_to_compute_with_are_lowered() {
    // Guards against sums and products that overflow while a call is handled, which ends the call,
    // and against grants that exceed what a ledger may hold.

    // Arrange
    let mut huge = route("huge", "/");
    huge.timeout = Duration::MAX;
    huge.objective = Duration::MAX;
    huge.pause_limit = Some(Duration::MAX);
    huge.shares = vec![huge.shares[0].clone(), huge.shares[0].clone()];
    for share in &mut huge.shares {
        share.weight = u64::MAX;
    }
    let limits = Limits {
        header_bytes: usize::MAX,
        body_bytes: usize::MAX,
        header_timeout: Duration::MAX,
        idle_timeout: Duration::MAX,
    };
    let mut service = Service::plain("s", usize::MAX);
    service.cold_time = Duration::MAX;
    service.tokens_per_event = Some(u64::MAX);
    let mut account = account("one", "key");
    account.prepaid_tokens = Some(u64::MAX);

    // Act
    let catalogue =
        Catalogue::try_new(1, limits, vec![huge], vec![service], vec![account]).unwrap();

    // Assert
    let route = catalogue.route("host", "/a").unwrap();
    let service = catalogue.services().next().unwrap();
    let limits = catalogue.limits();
    let times = [
        route.timeout,
        route.objective,
        route.pause_limit.unwrap(),
        service.cold_time,
        limits.header_timeout,
        limits.idle_timeout,
    ];
    for time in times {
        assert!(time >= Duration::from_hours(24) && time.checked_mul(1_000).is_some());
    }
    assert_eq!(route.service(u64::MAX), Some("s"));
    assert!(limits.header_bytes <= 1 << 20 && limits.body_bytes <= 1 << 30);
    assert!(service.tokens_per_event.unwrap() <= 1 << 32);
    assert_eq!(catalogue.prepaid_tokens()["one"], 1 << 48);
}
