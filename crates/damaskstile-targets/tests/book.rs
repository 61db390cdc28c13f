//! Which target a call gets: by cached prompt parts, waiting prompts, failures and departures.

use damaskstile_core::prelude::*;
use damaskstile_targets::{Listed, Part, TargetTable, TargetTableOptions, Work};

const SERVICE: &str = "model";
/// Prompts of a calm minute at usual sizes: a shared beginning, a shared prefix, an own part.
const CALLS: u64 = 2_000;
/// Shared prefixes, one for each subject of calls.
const PREFIXES: u64 = 104;
const PREFIX_TOKENS: u64 = 3_800;
const BEGINNING_TOKENS: u64 = 2_500;
const OWN_TOKENS: u64 = 2_900;
const TARGETS: u64 = 9;

fn listed(name: &str, is_ready: bool) -> Listed {
    Listed {
        target: name.to_owned(),
        incarnation: None,
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "north".to_owned(),
        slots_requests: 64,
        is_ready,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

/// Returns the identity of a target that does not state its start.
fn unstated(name: &str) -> TargetIdentity {
    TargetIdentity::new(name, None)
}

fn table(targets: u64) -> TargetTable {
    let mut table = TargetTable::new("north", TargetTableOptions::default());
    for index in 0..targets {
        table.list(Duration::ZERO, listed(&format!("t{index}"), true));
    }
    table
}

fn prompt(prefix: u64, own: u64) -> Work {
    let part = |name, tokens| Part { name, tokens };
    Work {
        prompt_tokens: BEGINNING_TOKENS + PREFIX_TOKENS + OWN_TOKENS,
        output_tokens: 200,
        parts: vec![
            part(1, BEGINNING_TOKENS),
            part(1_000 + prefix, PREFIX_TOKENS),
            part(1_000_000 + own, OWN_TOKENS),
        ],
        ..Work::default()
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn instances_without_contact_send_a_prefix_to_the_same_target() {
    // Guards against shared prompt parts that are prefilled again at every target, so that first
    // tokens come late on days with high load. Calls about one subject come to several instances,
    // which would send them to different targets if the hash were that of the last part, which only
    // the call itself has.

    // Arrange: the sizes are those of house-style revisions, 104 subjects and nine targets.
    let mut tables = [table(TARGETS), table(TARGETS), table(TARGETS)];
    let mut random = Random::new(3);
    let mut targets_by_prefix =
        std::collections::BTreeMap::<u64, std::collections::BTreeSet<String>>::new();

    // Act
    for call in 0..CALLS {
        let now = at(call * 30);
        let prefix = random.below(PREFIXES);
        let work = prompt(prefix, call);
        let table = &mut tables[random.index(3)];
        let choice = table.choose(now, SERVICE, &work, &[]).unwrap();
        table.sent(now, &choice, &work);
        table.prefilled(&choice);
        table.ended(&choice);
        targets_by_prefix
            .entry(prefix)
            .or_default()
            .insert(choice.target);
    }

    // Assert
    let targets: usize = targets_by_prefix
        .values()
        .map(std::collections::BTreeSet::len)
        .sum();
    assert!(
        targets < targets_by_prefix.len() * 6 / 5,
        "{targets} of {}",
        targets_by_prefix.len()
    );
}

#[test]
fn a_shared_prefix_in_high_demand_is_spread() {
    // Arrange: one shared prefix gets calls faster than one target prefills their own parts.
    let mut table = table(TARGETS);
    let mut used = std::collections::BTreeSet::new();

    // Act: no prefill ends meanwhile.
    for call in 0..40 {
        let work = prompt(7, call);
        let choice = table.choose(at(call), SERVICE, &work, &[]).unwrap();
        table.sent(at(call), &choice, &work);
        used.insert(choice.target);
    }

    // Assert
    assert!(used.len() > 4, "{used:?}");
}

#[test]
fn a_target_that_fails_is_avoided_and_tried_again() {
    // Arrange
    let mut table = table(2);
    let work = Work::default();
    let others = ["t1".to_owned()];
    let choice = table.choose(at(1_000), SERVICE, &work, &others).unwrap();
    for _ in 0..3 {
        table.unanswered(at(1_000), &choice);
    }

    // Act
    let soon = table.choose(at(1_100), SERVICE, &work, &[]).unwrap();
    for _ in 0..50 {
        let choice = table.choose(at(20_000), SERVICE, &work, &["t0".to_owned()]);
        table.sent(at(20_000), &choice.unwrap(), &work);
    }
    let later = table.choose(at(20_000), SERVICE, &work, &[]).unwrap();

    // Assert
    assert_eq!(soon.target, "t1");
    assert_eq!(later.target, "t0");
}

#[test]
fn a_draining_target_never_gets_work_again() {
    // Guards against a leaving target that receives work. A peer reports that it drains, and then a
    // late entry of the list shows it as ready. The last report to arrive is not the newest.

    // Arrange
    let mut table = table(1);
    table.leave(at(10), &unstated("t0"));

    // Act
    table.list(at(20), listed("t0", true));

    // Assert
    assert_eq!(table.choose(at(30), SERVICE, &Work::default(), &[]), None);
    assert_eq!(table.draining(at(30)), [unstated("t0")]);
}

#[test]
fn entries_that_expire_around_an_outage_stay_in_use_for_a_grace_period() {
    // Guards against an outage of the store after which every call is refused for lack of targets.
    // The entries expire during the outage, the list comes back empty, and the targets write their
    // entries again within two seconds. A missing entry must not be treated as a stop.

    // Arrange
    let mut table = table(1);
    let work = Work::default();

    // Act
    table.list_all(at(1_000), Vec::new(), true);
    let at_once = table.choose(at(1_100), SERVICE, &work, &[]);
    let past_grace = table.choose(at(3_000), SERVICE, &work, &[]);
    table.list(at(3_100), listed("t0", true));
    let back = table.choose(at(3_200), SERVICE, &work, &[]);

    // Assert
    assert!(at_once.is_some());
    assert_eq!(past_grace, None);
    assert!(back.is_some());
}

#[test]
fn a_target_delisted_at_other_times_is_leaving_at_once() {
    let mut table = table(1);
    table.unlist(at(1_000), "t0", false);
    assert_eq!(
        table.choose(at(1_000), SERVICE, &Work::default(), &[]),
        None
    );
    assert_eq!(table.delisted(at(1_000)), [unstated("t0")]);
}

#[test]
fn a_list_passed_to_peers_contains_only_present_targets() {
    // Guards against a target that receives calls four seconds after it left. Its entry is removed
    // shortly after an outage; one instance keeps it in use for a grace period, another knows
    // already that it is gone and then pulls the first one's list. That list must not contain
    // targets in their grace period.

    // Arrange
    let mut waiting = table(2);
    let mut other = table(2);
    waiting.unlist(at(0), "t0", true);
    other.delist(at(20), &unstated("t0"));

    // Act
    let all = waiting.present().cloned().map(Ok).collect();
    other.list_all(at(300), all, false);

    // Assert
    let chosen =
        |table: &TargetTable| table.choose(at(400), SERVICE, &Work::default(), &["t1".to_owned()]);
    assert!(chosen(&waiting).is_some());
    assert!(chosen(&other).is_none());
}

#[test]
fn a_target_still_missing_after_an_outage_is_reported_as_delisted() {
    // Guards against instances that have their list from others and call targets that ended during
    // an outage of the list, because those others stopped using them and reported it to no one.

    // Arrange
    let mut table = table(2);

    // Act
    table.unlist(at(0), "t0", true);

    // Assert
    assert!(table.delisted(at(1_000)).is_empty());
    assert_eq!(table.delisted(at(2_000)), [unstated("t0")]);
    table.list(at(2_100), listed("t0", true));
    assert!(table.delisted(at(2_200)).is_empty());
}
