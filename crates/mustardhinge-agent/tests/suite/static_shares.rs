use mustardhinge_agent::budget::StaticShares;
use mustardhinge_config::document::ServiceDocument;
use mustardhinge_core::budget::{
    ClientId, LedgerError, LedgerRequest, LedgerResponse, RequestAmount,
};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::budget::BudgetRequest;

const DOCUMENT: &str = include_str!("../../../../examples/muscat/haulage-1.toml");
/// Both are those of `seeb` in the sample, over its eight instances.
const SHARE_BURST: RequestAmount = RequestAmount::from_requests(10);
const SHARE_RATE: RequestAmount = RequestAmount::from_requests(5);

/// More than any share has.
const PLENTY: RequestAmount = RequestAmount::from_requests(100);

fn request(zone: &str, customer: &str) -> BudgetRequest {
    let client = ClientId {
        instance: "muscat-1-a".parse().unwrap(),
        incarnation: 1,
    };
    BudgetRequest {
        service: "haulage-1".parse().unwrap(),
        customer: customer.parse().unwrap(),
        ledger_zone: zone.parse().unwrap(),
        ask: LedgerRequest {
            client,
            zone: zone.parse().unwrap(),
            ledger_epoch: 0,
            sequence: 1,
            spent_total: RequestAmount::ZERO,
            held: RequestAmount::ZERO,
            waiting: PLENTY,
            wanted: PLENTY,
        },
    }
}

fn shares() -> StaticShares {
    StaticShares::new("muscat-1".parse().unwrap(), 1, MonotonicTime::default())
}

fn ask(
    shares: &mut StaticShares,
    request: &BudgetRequest,
    millis: u64,
) -> Result<LedgerResponse, LedgerError> {
    let document = ServiceDocument::parse(DOCUMENT).unwrap();
    let now = MonotonicTime::from_millis(millis);
    shares.handle_request(request, Some(&document), now)
}

#[test]
fn an_instance_lends_its_even_part() {
    let mut shares = shares();
    let mut request = request("muscat-1", "seeb");
    let early = ask(&mut shares, &request, 1_200).unwrap();
    assert_eq!(
        early.granted,
        SHARE_RATE.saturating_add(RequestAmount::ONE),
        "1.2 s at 5/s"
    );
    request.ask.sequence = 2;
    request.ask.ledger_epoch = early.ledger_epoch;
    request.ask.spent_total = early.granted;
    let second_later = ask(&mut shares, &request, 2_200).unwrap();
    let room = SHARE_BURST.saturating_sub(early.granted);
    assert_eq!(
        second_later.granted, room,
        "lent requests take up burst until reported spent"
    );
    request.ask.sequence = 3;
    (request.ask.waiting, request.ask.wanted) = (RequestAmount::ZERO, RequestAmount::ZERO);
    assert_eq!(
        ask(&mut shares, &request, 30_000).unwrap().granted,
        RequestAmount::ZERO
    );
    request.ask.sequence = 4;
    (request.ask.waiting, request.ask.wanted) = (PLENTY, PLENTY);
    let long_after = ask(&mut shares, &request, 60_000).unwrap();
    assert_eq!(long_after.granted, SHARE_BURST);
}

#[test]
fn nothing_is_lent_while_an_earlier_start_may_have_lent() {
    let request = request("muscat-1", "seeb");
    let outcome = ask(&mut shares(), &request, 1_000);
    assert_eq!(outcome, Err(LedgerError::NotHolder));
}

#[test]
fn other_zones_and_unknown_customers_get_nothing() {
    let other_zone = ask(&mut shares(), &request("muscat-2", "seeb"), 9_000);
    assert_eq!(other_zone, Err(LedgerError::NotHolder));
    let unknown = ask(&mut shares(), &request("muscat-1", "nobody"), 9_000);
    assert_eq!(unknown, Err(LedgerError::UnknownCustomer));
}
