use mustardhinge_process::event::ALL_EVENTS;

const CATALOGUE: &str = include_str!("../../../../docs/EVENTS.md");

#[test]
fn every_event_stands_in_the_catalogue() {
    for event in ALL_EVENTS {
        let level = event.level.as_str().to_lowercase();
        let row = format!("| {} | {level} | {} |", event.number, event.title);
        assert!(CATALOGUE.contains(&row), "missing in docs/EVENTS.md: {row}");
    }
}

#[test]
fn the_catalogue_names_no_other_event() {
    let rows = CATALOGUE
        .lines()
        .filter(|line| line.starts_with("| "))
        .count();
    let header_rows = 2;
    assert_eq!(rows - header_rows, ALL_EVENTS.len());
}

#[test]
fn numbers_grow() {
    assert!(
        ALL_EVENTS
            .windows(2)
            .all(|pair| pair[0].number < pair[1].number)
    );
}
