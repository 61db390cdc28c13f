//! Tests that the documented catalogue of log events matches the code.

use damaskstile_core::log::EventCode;

#[test]
fn the_documented_catalogue_matches_the_event_codes() {
    // Arrange
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    let catalogue = std::fs::read_to_string(path).unwrap();

    // Act and assert
    for code in EventCode::ALL {
        let row = format!(
            "| {} | {code:?} | {} | {} |",
            code.number(),
            code.level(),
            code.text()
        );
        assert!(catalogue.contains(&row), "missing: {row}");
    }
    let rows = catalogue
        .lines()
        .filter(|line| line.starts_with("| ") && line[2..3].parse::<u8>().is_ok());
    assert_eq!(rows.count(), EventCode::ALL.len());
}

#[test]
fn event_numbers_are_unique() {
    let mut numbers: Vec<u16> = EventCode::ALL.iter().map(|code| code.number()).collect();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), EventCode::ALL.len());
}
