//! When statements are forwarded to gateways, and how a target's connections are divided.

use mustardhinge_core::gateway::{ConnectionPlan, GatewayRank};
use proptest::prelude::*;

/// The sizes of the fleets in use: connections per target, instances and customers.
#[test]
fn only_fleets_with_too_few_connections_forward() {
    for (all, instances, customers) in [(33, 7, 8), (30, 7, 8), (1_000, 7, 190)] {
        let plan = ConnectionPlan::decide(all, instances, customers);
        assert_eq!(plan, ConnectionPlan::Direct, "{all} for {instances}");
    }
    for (all, instances, customers) in [(193, 295, 190), (36, 76, 80), (82, 75, 80), (16, 9, 8)] {
        let plan = ConnectionPlan::decide(all, instances, customers);
        assert_eq!(plan, ConnectionPlan::Gateways, "{all} for {instances}");
    }
}

proptest! {
    /// The first gateway, the second gateway and all other instances together never exceed the
    /// target's limit, and leave some connections for control. Each instance has at least one for
    /// fallback, so the sum is checked only where the other instances get more than this minimum.
    #[test]
    fn ranks_fit_into_the_limit(all in 20_usize..5_000, instances in 2_usize..6_000) {
        let first = GatewayRank::First.connections(all, instances);
        let second = GatewayRank::Second.connections(all, instances);
        let other = GatewayRank::Other.connections(all, instances);
        prop_assert!(other >= 1 && second >= 1 && first >= second);
        prop_assert!(first + second + all / 10 <= all);
        if other > 1 {
            prop_assert!(first + second + other * instances <= all);
        }
    }

    /// More instances never turn forwarding off, more connections never turn it on.
    #[test]
    fn plan_is_monotonic(all in 1_usize..5_000, instances in 2_usize..6_000, customers in 1_usize..500) {
        if ConnectionPlan::decide(all, instances, customers) == ConnectionPlan::Gateways {
            let more = ConnectionPlan::decide(all, instances + 1, customers);
            prop_assert_eq!(more, ConnectionPlan::Gateways);
        } else {
            let more = ConnectionPlan::decide(all + 4, instances, customers);
            prop_assert_eq!(more, ConnectionPlan::Direct);
        }
    }
}
