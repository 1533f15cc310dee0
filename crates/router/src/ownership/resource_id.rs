use std::{borrow::Borrow, fmt, sync::Arc};

/// Id of a resource that only one host at a time may act on: admission to an engine, a range
/// of idempotency keys, writing configuration snapshots, or issuing tickets for loads from
/// the weight store.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct ResourceId(Arc<str>);

impl ResourceId {
    /// Admission to an engine, by endpoint id.
    pub(crate) fn engine(endpoint: &str) -> Self {
        Self(format!("engine/{endpoint}").into())
    }

    /// A range of idempotency keys.
    pub(crate) fn keys(range: u32) -> Self {
        Self(format!("keys/{range}").into())
    }

    /// Writing configuration snapshots.
    pub(crate) fn config() -> Self {
        Self("config".into())
    }

    /// Issuing tickets for loads from the weight store.
    pub(crate) fn weights() -> Self {
        Self("weights".into())
    }

    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ResourceId {
    fn from(id: &str) -> Self {
        Self(id.into())
    }
}

impl Borrow<str> for ResourceId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ResourceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
