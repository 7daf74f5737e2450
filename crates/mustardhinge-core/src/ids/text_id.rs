use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use super::IdError;

/// The maximum length of an identifier, in characters.
const MAX_ID_CHARS: usize = 128;

fn check_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty { max: MAX_ID_CHARS });
    }
    let length = text.chars().count();
    if length > MAX_ID_CHARS {
        return Err(IdError::TooLong {
            max: MAX_ID_CHARS,
            length,
        });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    match text.chars().find(|c| !allowed(*c)) {
        Some(character) => Err(IdError::BadCharacter { character }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_id(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!(stringify!($name), "({})"), self.0)
            }
        }
    };
}

text_id! {
    /// Identifies a customer (tenant) of a service.
    CustomerId
}
text_id! {
    /// Identifies a database group: a primary and its replicas.
    GroupId
}
text_id! {
    /// Identifies an instance: a machine that runs an entry and an agent.
    InstanceId
}
text_id! {
    /// Identifies a conditional update, so that its outcome can be determined after a lost
    /// response.
    OperationId
}
text_id! {
    /// Identifies a region, which has one or more availability zones.
    RegionName
}
text_id! {
    /// Identifies a request of a caller, so that a retry finds the recorded response.
    RequestId
}
text_id! {
    /// Identifies a route of a service document.
    RouteName
}
text_id! {
    /// Identifies a service: a database group with its customers, keys, rates and routes.
    ServiceId
}
text_id! {
    /// Identifies a session of a caller, which may move between instances.
    SessionId
}
text_id! {
    /// Identifies a target: a database server of a group.
    TargetId
}
text_id! {
    /// Identifies an availability zone.
    ZoneId
}
