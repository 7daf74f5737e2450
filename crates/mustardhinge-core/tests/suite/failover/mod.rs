//! Changes of primary: when they begin, what they do, how long they take.

mod change;
mod failover_rig;
mod suspicion;
mod switchover;

use failover_rig::{FailoverRig, StoreState};
