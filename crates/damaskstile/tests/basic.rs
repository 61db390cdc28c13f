//! tmp
use std::time::Duration;
use damaskstile_fakes::world::Work;
use damaskstile_fakes::{World, WorldOptions, check};
#[test]
fn basic() {
    let mut w = World::new(WorldOptions::default(), 100_000);
    w.run_for(Duration::from_secs(2));
    for i in 0..20 { w.request(&format!("i00{}", i%3), &Work::chat(10, 50, 40)); w.run_for(Duration::from_millis(50)); }
    let t = std::time::Instant::now();
    w.run_for(Duration::from_secs(30));
    println!("{:?} msgs {} writes {} reads {} logged {:?}", t.elapsed(), w.messages, w.store.writes, w.store.reads, w.logged);
    for a in w.answers.values() { println!("{:?} {:?}", a.outcome, a.pieces.len()); }
    check::at_the_end(&w).unwrap();
    check::answered_is_billed(&w).unwrap();
    println!("{:#?}", w.store.ledger("office").grants);
}
