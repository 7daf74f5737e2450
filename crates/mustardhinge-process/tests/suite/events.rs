use mustardhinge_process::event::{
    ALL_EVENTS, LINES_PER_SECOND, LineLimiter, LineVerdict, LogSample,
};

const CATALOGUE: &str = include_str!("../../../../docs/EVENTS.md");

#[test]
fn every_event_is_in_the_catalogue() {
    for event in ALL_EVENTS {
        let level = event.level.as_str().to_lowercase();
        let row = format!("| {} | {level} | {} |", event.number, event.title);
        assert!(
            CATALOGUE.contains(&row),
            "missing from docs/EVENTS.md: {row}"
        );
    }
}

#[test]
fn the_catalogue_has_no_other_event() {
    let rows = CATALOGUE
        .lines()
        .filter(|line| line.starts_with("| "))
        .count();
    let header_rows = 2;
    assert_eq!(rows - header_rows, ALL_EVENTS.len());
}

#[test]
fn event_numbers_increase() {
    assert!(
        ALL_EVENTS
            .windows(2)
            .all(|pair| pair[0].number < pair[1].number)
    );
}

/// Guards against a flood that fills the log or loses count of omitted lines: after a flood of ten
/// seconds, the written lines and the reported omissions add up to all lines.
#[test]
fn a_flood_of_one_event_is_limited_and_counted() {
    let limiter = LineLimiter::default();
    let (mut written, mut reported) = (0, 0);
    for second in 0..10 {
        for _ in 0..10_000 {
            if let LineVerdict::Write { omitted } = limiter.admit(second) {
                written += 1;
                reported += omitted;
            }
        }
    }
    assert_eq!(written, 10 * LINES_PER_SECOND);
    let LineVerdict::Write { omitted } = limiter.admit(11) else {
        panic!("line omitted in a second without a flood");
    };
    assert_eq!(written + reported + omitted, 100_000);
}

/// The id alone selects one request in 64, whatever the format of the ids.
#[test]
fn the_sample_includes_one_request_in_sixty_four() {
    let ids: [fn(u64) -> String; 3] = [
        |index| format!("q{index}"),
        |index| format!("{index:016x}"),
        |index| format!("{:016x}", index.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
    ];
    for id in ids {
        let included = (0..64_000)
            .filter(|index| LogSample::includes(id(*index).as_bytes()))
            .count();
        assert!(
            (800..1_200).contains(&included),
            "{included} requests included, expected about 1,000"
        );
    }
}
