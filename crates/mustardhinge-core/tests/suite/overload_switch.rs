//! Which deployments call for overload control.

use mustardhinge_core::overload::{OverloadControl, OverloadSwitch};
use mustardhinge_core::prelude::{ServiceId, ZoneId};

fn zones(count: usize) -> Vec<ZoneId> {
    (0..count)
        .map(|zone| format!("z{zone}").parse().unwrap())
        .collect()
}

fn service(index: usize) -> ServiceId {
    format!("svc{index}").parse().unwrap()
}

/// Eight services have three targets each, in three of four zones by turns. Guards against taking
/// the zones of all services together for an even distribution.
#[test]
fn services_that_cover_only_some_zones_each_are_uneven() {
    let zones = zones(4);
    let mut switch = OverloadSwitch::new(false, zones.clone());
    for index in 0..8 {
        let service = service(index);
        let covered = (0..3).map(|offset| (&service, &zones[(index + offset) % 4]));
        switch.record_targets(covered);
    }
    assert_eq!(switch.current(), OverloadControl::On);
}

/// The last target of a zone crashed before an instance started. Guards against overload control
/// in a deployment that doesn't call for it.
#[test]
fn a_missing_target_of_one_service_changes_nothing() {
    let zones = zones(3);
    let mut switch = OverloadSwitch::new(false, zones.clone());
    let (whole, crashed) = (service(0), service(1));
    switch.record_targets(zones.iter().map(|zone| (&whole, zone)));
    switch.record_targets(zones[..2].iter().map(|zone| (&crashed, zone)));
    assert_eq!(switch.current(), OverloadControl::Off);
}

/// Guards against a request of the settings that waits for the list of targets.
#[test]
fn the_settings_can_request_it_before_any_target_is_known() {
    assert_eq!(
        OverloadSwitch::new(true, zones(3)).current(),
        OverloadControl::On
    );
    assert_eq!(
        OverloadSwitch::new(false, zones(3)).current(),
        OverloadControl::Off
    );
}
