//! Names of customers, services and failure domains, and ids of nodes, upstreams and requests.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::hash::name_hash;

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            schemars::JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Copies `name` without checking it.
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

shared_name! {
    /// Name of a customer, unique in the fleet.
    CustomerName
}
shared_name! {
    /// Name of a service, unique in the fleet.
    ServiceName
}
shared_name! {
    /// Name of a failure domain.
    DomainName
}

/// Error for text that is not a hexadecimal id of the expected size.
#[derive(Debug, thiserror::Error)]
#[error("not a hexadecimal id: {0:?}")]
pub struct IdError(String);

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $format:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
        )]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, $format, self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                <$inner>::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| IdError(text.to_owned()))
            }
        }

        impl Serialize for $name {
            fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
            where
                S: serde::Serializer,
            {
                if serializer.is_human_readable() {
                    serializer.collect_str(self)
                } else {
                    self.0.serialize(serializer)
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                if deserializer.is_human_readable() {
                    let text = String::deserialize(deserializer)?;
                    text.parse().map_err(serde::de::Error::custom)
                } else {
                    <$inner>::deserialize(deserializer).map(Self)
                }
            }
        }
    };
}

hex_id! {
    /// Id of a node, the [`name_hash`] of its instance name.
    NodeId, u64, "{:016x}"
}
hex_id! {
    /// Incarnation number of a node, greater after each restart.
    ///
    /// A node takes it from the wall clock in milliseconds at its start, and raises it above every
    /// earlier incarnation of the node that its peers remember.
    NodeIncarnation, u64, "{:012x}"
}
hex_id! {
    /// Id of one request, assigned when the request arrives from a caller.
    RequestId, u128, "{:032x}"
}

impl NodeId {
    /// Returns the id of the node on the instance named `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(name_hash(name))
    }
}

/// One incarnation of one node.
///
/// Guarantees that an incarnation gave, such as leases, end when its node restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// Id of the node, the same across restarts.
    pub node: NodeId,
    /// Incarnation of the node, greater after each restart.
    pub incarnation: NodeIncarnation,
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.node, self.incarnation)
    }
}

/// Id of an upstream, a backend server behind a node. A node can have several upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamId {
    /// Node that forwards requests to the backend server.
    pub node: NodeId,
    /// Number of the backend server on that node.
    pub slot: u16,
}

impl fmt::Display for UpstreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.node, self.slot)
    }
}

/// Id of one attempt to run a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within the request, counted from zero.
    pub number: u16,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}
