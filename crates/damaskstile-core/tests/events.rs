//! Holds the catalogue of log events to the code.

use damaskstile_core::log::EventCode;

#[test]
fn the_catalogue_lists_every_event_as_the_code_has_it() {
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
fn no_number_is_given_twice() {
    let mut numbers: Vec<u16> = EventCode::ALL.iter().map(|code| code.number()).collect();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), EventCode::ALL.len());
}
