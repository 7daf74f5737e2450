use mustardhinge_core::prelude::*;
use proptest::prelude::*;

#[test]
fn the_term_takes_precedence_over_the_offset() {
    let old_term = LogPosition::new(LeaderTerm::new(1), 900);
    let new_term = LogPosition::new(LeaderTerm::new(2), 3);
    assert!(new_term > old_term);
}

#[test]
fn ids_reject_blanks_and_quotes() {
    assert!("sohar desk".parse::<CustomerId>().is_err());
    assert!("a'b".parse::<RequestId>().is_err());
    assert!("".parse::<TargetId>().is_err());
}

proptest! {
    #[test]
    fn rates_round_trip_through_text(millis in any::<u64>()) {
        let rate = RequestRate::from_millis(millis);
        prop_assert_eq!(rate.to_string().parse(), Ok(rate));
    }

    #[test]
    fn positions_round_trip_through_text(term in any::<u64>(), offset in any::<u64>()) {
        let position = LogPosition::new(LeaderTerm::new(term), offset);
        prop_assert_eq!(position.to_string().parse(), Ok(position));
    }
}
