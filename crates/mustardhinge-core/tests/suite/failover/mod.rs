//! Tests of the failover state machine: detection, steps, timing and switchover.

mod change;
mod failover_rig;
mod suspicion;
mod switchover;

use failover_rig::{FailoverRig, StoreState};
