//! Load test of bulk prompts beside urgent streams, in model time and without a network.

mod fleet;

use fleet::Fleet;

#[test]
fn urgent_streams_keep_moving_beside_a_burst_of_bulk_prompts() {
    // Guards against streams that stand still for longer than the 400 ms that their route allows,
    // since several bulk prompts are prefilled at their target one after the other.
    //
    // Load pattern: a burst of 180 prompts a second of 9,000 tokens that can wait, beside 200 short
    // urgent streams a second, on 60 targets, from 70 instances of which the first sends a fifth.

    // Act: in model time, without the queue of the gateway.
    let [without, with] = [0.0, 40.0].map(|bulk_ms| Fleet::new(bulk_ms).run());

    // Assert
    println!("without: {without:?}, with: {with:?}");
    assert!(with.stalled * 3 < without.stalled, "{with:?}, {without:?}");
    assert!(
        with.late_bulk <= without.late_bulk + 50,
        "{with:?}, {without:?}"
    );
}
