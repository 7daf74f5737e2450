//! Newtypes for identifiers, with `Display` and `FromStr`.

mod id_error;
mod text_id;

pub use id_error::IdError;
pub use text_id::{
    CustomerId, GroupId, InstanceId, OperationId, RegionName, RequestId, RouteName, ServiceId,
    SessionId, TargetId, ZoneId,
};
