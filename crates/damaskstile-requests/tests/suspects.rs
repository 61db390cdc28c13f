//! Tests of which contents are quarantined for crashing targets, and what clears others.

mod support;

use std::time::Duration;

use damaskstile_core::prelude::*;
use damaskstile_requests::{Content, Fingerprint, Suspects};
use support::{at_ms, content, crash, fingerprint, merge_reports_of};

/// Contents of one caller with crashes: more than are stored.
const MANY_CONTENTS: u64 = 2_000;

fn is_quarantined(suspects: &Suspects, now: Duration, content: &Content<'_>) -> bool {
    suspects.quarantined_for(now, content).is_some()
}

#[test]
fn three_crashes_quarantine_a_content_of_one_account_only() {
    // Arrange
    let mut suspects = Suspects::default();

    // Act
    for second in 1..=3 {
        crash(
            &mut suspects,
            second * 1_000,
            "crasher",
            &second.to_string(),
        );
    }

    // Assert
    let (now, crasher) = (at_ms(3_100), content("crasher"));
    let of_another = Content {
        account: "another",
        ..crasher
    };
    assert!(is_quarantined(&suspects, now, &crasher));
    assert!(!is_quarantined(&suspects, now, &of_another));
    assert!(!is_quarantined(&suspects, now, &content("as long")));
}

#[test]
fn a_content_is_released_once_its_crashes_expire() {
    // Arrange
    let mut suspects = Suspects::default();
    for second in 1..=3 {
        crash(
            &mut suspects,
            second * 1_000,
            "crasher",
            &second.to_string(),
        );
    }

    // Act
    let left = suspects
        .quarantined_for(at_ms(4_000), &content("crasher"))
        .unwrap();

    // Assert: a caller that retries after the stated time is not refused again.
    let later = at_ms(4_000) + left;
    assert!(!is_quarantined(&suspects, later, &content("crasher")));
    assert!(is_quarantined(
        &suspects,
        later.saturating_sub(at_ms(1)),
        &content("crasher")
    ));
}

#[test]
fn completion_also_clears_crashes_that_are_reported_late() {
    // Arrange
    let (mut own, mut peer) = (Suspects::default(), Suspects::default());
    crash(&mut own, 1_000, "lookup", "a");
    crash(&mut peer, 1_500, "lookup", "b");
    crash(&mut peer, 1_900, "lookup", "c");

    // Act
    let _ = own.note_success(at_ms(2_000), &content("lookup"));
    merge_reports_of(&mut own, &peer, at_ms(2_300));
    crash(&mut own, 3_000, "lookup", "d");

    // Assert
    assert!(!is_quarantined(&own, at_ms(3_100), &content("lookup")));
    merge_reports_of(&mut peer, &own, at_ms(3_100));
    assert!(!is_quarantined(&peer, at_ms(3_100), &content("lookup")));
}

#[test]
fn simultaneous_crashes_count_once() {
    // Guards against refusing a popular content for minutes after a power loss. The loss takes down
    // several targets that run the content at once, each of which would count as a crash.

    // Arrange
    let mut suspects = Suspects::default();

    // Act
    for target in 0..8 {
        crash(&mut suspects, 1_000 + target, "lookup", &target.to_string());
    }

    // Assert
    assert!(!is_quarantined(&suspects, at_ms(1_100), &content("lookup")));
}

#[test]
fn a_quick_series_of_crashes_does_not_hide_later_ones() {
    // Guards against a content that keeps crashing targets although sixteen crashes are recorded.
    // Called at many instances at once, it causes them within half a second. They would fill the
    // list of crashes and count as two.

    // Arrange
    let mut suspects = Suspects::default();
    for target in 0..40 {
        crash(
            &mut suspects,
            1_000 + target * 10,
            "crasher",
            &target.to_string(),
        );
    }

    // Act
    crash(&mut suspects, 1_700, "crasher", "one more");

    // Assert
    assert!(is_quarantined(&suspects, at_ms(1_701), &content("crasher")));
}

#[test]
fn a_target_restarted_under_its_name_may_crash_again() {
    // Arrange: the target does not report its incarnation.
    let mut suspects = Suspects::default();

    // Act: two instances notice each crash.
    for ms in [1_000, 1_004, 4_000, 4_003, 7_000, 7_002] {
        assert!(!is_quarantined(&suspects, at_ms(ms), &content("crasher")));
        crash(&mut suspects, ms, "crasher", "t");
        if ms == 7_000 {
            break;
        }
    }

    // Assert
    assert!(is_quarantined(&suspects, at_ms(7_001), &content("crasher")));
}

#[test]
fn contents_that_ran_beside_a_crashing_one_are_released() {
    // Guards against refusing a harmless call for minutes because it ran on each of three targets
    // when another call crashed them. The crashes alone do not distinguish the two.

    // Arrange
    let mut suspects = Suspects::default();
    for (ms, target) in [(1_000, "a"), (2_000, "b"), (3_000, "c")] {
        crash(&mut suspects, ms, "crasher", target);
        crash(&mut suspects, ms, "beside", target);
    }
    assert!(is_quarantined(&suspects, at_ms(3_001), &content("beside")));

    // Act: only the crashing content ran on a fourth target that crashes.
    crash(&mut suspects, 3_300, "crasher", "d");

    // Assert
    assert!(!is_quarantined(&suspects, at_ms(3_301), &content("beside")));
    assert!(is_quarantined(&suspects, at_ms(3_301), &content("crasher")));
}

#[test]
fn no_caller_displaces_suspects_of_others() {
    // Arrange
    let mut suspects = Suspects::default();
    crash(&mut suspects, 1_000, "crasher", "a");

    // Act: another caller's contents each run on one target that crashes.
    for number in 0..MANY_CONTENTS {
        let body = number.to_string();
        let fingerprint = Fingerprint::of(&Content {
            account: "many",
            ..content(&body)
        });
        let target = TargetIdentity::new(&body, None);
        let _ = suspects.note_crash(at_ms(2_100), fingerprint, "many", target);
    }
    crash(&mut suspects, 3_000, "crasher", "b");
    crash(&mut suspects, 4_000, "crasher", "c");

    // Assert
    let (known, _) = suspects.counts();
    assert!(known < usize::try_from(MANY_CONTENTS).unwrap());
    assert!(is_quarantined(&suspects, at_ms(4_001), &content("crasher")));
}

#[test]
fn relayed_reports_do_not_extend_quarantine() {
    // Arrange
    let mut suspects = [Suspects::default(), Suspects::default()];
    for second in 1..=3 {
        crash(
            &mut suspects[0],
            second * 1_000,
            "crasher",
            &second.to_string(),
        );
    }
    let until = at_ms(3_000)
        + suspects[0]
            .quarantined_for(at_ms(3_000), &content("crasher"))
            .unwrap();

    // Act: each message takes 20 ms.
    let mut now = at_ms(3_000);
    while now < at_ms(60_000) {
        let [one, other] = &mut suspects;
        let reports = one.reports(now);
        now += at_ms(20);
        for report in reports {
            let _ = other.merge_report(now, report);
        }
        suspects.swap(0, 1);
        now += at_ms(400);
    }

    // Assert
    for suspects in &suspects {
        let left = suspects.quarantined_for(now, &content("crasher")).unwrap();
        assert!(now + left <= until + at_ms(20));
    }
}

#[test]
fn a_fingerprint_round_trips_through_bytes() {
    let name = fingerprint("crasher");
    assert_eq!(Fingerprint::from_bytes(&name.to_bytes()), Some(name));
    assert_eq!(Fingerprint::from_bytes(&name.to_bytes()[1..]), None);
    let longer = [name.to_bytes(), vec![0]].concat();
    assert_eq!(Fingerprint::from_bytes(&longer), None);
}
