//! Conditions under which a loss of contact counts as an outage of the store, in which the list of
//! targets may lack some that are alive.

use std::time::Duration;

use damaskstile_gateway::contact::Contact;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Makes the contact of an instance that the store answered, did not answer and answered again.
fn contact(lost_at_ms: u64, regained_at_ms: u64) -> Contact {
    let mut contact = Contact::default();
    contact.answered(at(0));
    contact.failed(at(lost_at_ms));
    contact.answered(at(regained_at_ms));
    contact
}

#[test]
fn a_single_failed_call_is_not_an_outage_in_which_entries_lapse() {
    // Guards against calls to a target seconds after its entry was removed. Many instances call the
    // store at the same time, a connection times out, and the next call is answered 0.6 s later
    // with a list that no longer names a target. If any failed call counted as an outage, that
    // target would be taken for lapsed and stay in use for a grace period, however late the
    // instance noticed; entries lapse only after seconds without an answer.

    // Arrange and act
    let contact = contact(200, 807);

    // Assert
    assert!(!contact.is_around_outage(at(900)));
    assert!(!contact.is_lost());
}

#[test]
fn after_an_outage_of_seconds_entries_may_have_lapsed() {
    // Arrange and act
    let contact = contact(1_200, 3_000);

    // Assert
    assert!(contact.is_around_outage(at(4_900)));
    assert!(!contact.is_around_outage(at(5_000)));
}

#[test]
fn a_failed_call_after_an_outage_does_not_extend_its_grace_period() {
    // Arrange
    let mut contact = contact(1_200, 3_000);

    // Act
    contact.failed(at(3_500));
    contact.answered(at(4_100));

    // Assert
    assert!(contact.is_around_outage(at(4_900)));
    assert!(!contact.is_around_outage(at(5_500)));
}
