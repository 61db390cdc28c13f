//! Lists of targets that instances maintain by changes: they equal the whole list in any order of
//! events.

mod support;

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::state::{ReportedChanges, State};
use damaskstile_targets::Listed;
use proptest::prelude::*;
use support::{UnreachableStore, gateway, listed, unused_address};

/// Number of target names.
const TARGETS: u64 = 6;
/// Number of instances that pull the list from each other.
const FOLLOWERS: usize = 4;

/// An event at the list or between instances.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A target is listed with a new incarnation.
    List(u64, u64),
    /// A target is draining.
    Drain(u64),
    /// A target is no longer listed.
    Gone(u64),
    /// An instance pulls the changes since its version from another.
    Pull(usize, usize),
    /// An instance restarts without state.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..TARGETS, 1..4_u64).prop_map(|(target, start)| Step::List(target, start)),
        (0..TARGETS).prop_map(Step::Drain),
        (0..TARGETS).prop_map(Step::Gone),
        (0..FOLLOWERS, 0..=FOLLOWERS).prop_map(|(to, from)| Step::Pull(to, from)),
        (0..FOLLOWERS, 0..=FOLLOWERS).prop_map(|(to, from)| Step::Pull(to, from)),
        (0..FOLLOWERS).prop_map(Step::Restart),
    ]
}

fn entry(target: u64, start: u64, is_ready: bool) -> Listed {
    Listed {
        incarnation: Some(start),
        is_ready,
        ..listed(&format!("t{target}"), unused_address())
    }
}

fn new_instance() -> Arc<Gateway> {
    gateway(unused_address(), Arc::new(UnreachableStore))
}

/// Returns the answer to an instance that knows the list as of a version: the changes, or the whole
/// list.
fn answer(state: &State, since: Version) -> (Version, Option<ReportedChanges>, Vec<Listed>) {
    let names = state.list_changes.since(since).filter(|_| since > 0);
    let changes = names.map(|names| {
        let mut changes = ReportedChanges::default();
        for target in names {
            match state.target_table.present_entry(target) {
                Some(entry) => changes.listed.push(entry.clone()),
                None => changes.gone.push(target.clone()),
            }
        }
        changes
    });
    let all = state.target_table.present().cloned().collect();
    (state.targets_version, changes, all)
}

fn pull(to: &Gateway, from: &Gateway, now: Duration) {
    let since = to.state().targets_version;
    let (version, changes, all) = answer(&from.state(), since);
    let mut state = to.state();
    if version <= since {
        return;
    }
    if let Some(changes) = changes {
        state.apply_list_changes(now, version, changes, false);
    } else {
        let all = all.into_iter().map(Ok).collect();
        state.apply_list(now, version, all, false);
    }
}

fn names(gateway: &Gateway) -> Vec<TargetIdentity> {
    let state = gateway.state();
    state.target_table.present().map(Listed::identity).collect()
}

#[test]
fn a_target_listed_and_removed_between_two_lists_is_reported_as_gone() {
    // Guards against an instance that never knew a target and therefore does not report its
    // removal.

    // Arrange: one instance knows the list before the target was listed, one knows it with the
    // target, and both then pull from a third that knows only the list without it.
    let watcher = new_instance();
    let [early, middle, late] = [(); 3].map(|()| new_instance());
    let now = Duration::ZERO;
    watcher.state().apply_list(now, 10, Vec::new(), false);
    pull(&early, &watcher, now);
    {
        let mut state = watcher.state();
        state.target_table.list(now, entry(5, 1, true));
        state.targets_version = 12;
        state.note_changes(12);
    }
    pull(&middle, &watcher, now);
    {
        let mut state = watcher.state();
        state.target_table.unlist(now, "t5", false);
        state.targets_version = 16;
        state.note_changes(16);
    }
    pull(&late, &watcher, now);

    // Act
    pull(&early, &late, now);
    pull(&middle, &early, now);

    // Assert
    assert_eq!(names(&middle), Vec::new());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn a_list_kept_by_its_changes_is_the_whole_list(steps in prop::collection::vec(step(), 1..60)) {
        // Guards against changes that are lost between instances, also across restarts.

        // Arrange
        let watcher = new_instance();
        let mut all: Vec<Arc<Gateway>> = (0..FOLLOWERS).map(|_| new_instance()).collect();
        all.push(Arc::clone(&watcher));
        let mut version = 10;
        let mut starts: BTreeMap<u64, u64> = BTreeMap::new();
        watcher.state().apply_list(Duration::ZERO, version, Vec::new(), false);

        // Act
        for (index, step) in steps.into_iter().enumerate() {
            let now = Duration::from_millis(u64::try_from(index).unwrap() * 50);
            let mut state = watcher.state();
            version += 1;
            match step {
                Step::List(target, later) => {
                    let start = starts.entry(target).or_default();
                    *start += later;
                    let listed = entry(target, *start, true);
                    state.target_table.list(now, listed);
                }
                Step::Drain(target) => {
                    let start = starts.get(&target).copied().unwrap_or(1);
                    state.target_table.list(now, entry(target, start, false));
                }
                Step::Gone(target) => state.target_table.unlist(now, &format!("t{target}"), false),
                Step::Pull(to, from) => {
                    drop(state);
                    if to != from {
                        pull(&all[to], &all[from], now);
                    }
                    continue;
                }
                Step::Restart(index) => {
                    drop(state);
                    all[index] = new_instance();
                    continue;
                }
            }
            state.targets_version = version;
            state.note_changes(version);
        }
        let end = Duration::from_mins(10);
        for follower in &all[..FOLLOWERS] {
            pull(follower, &watcher, end);
        }

        // Assert
        for follower in &all[..FOLLOWERS] {
            prop_assert_eq!(names(follower), names(&watcher));
            let own = follower.state().target_table.content_hash(end * 2);
            prop_assert_eq!(own, watcher.state().target_table.content_hash(end * 2));
        }
    }
}
