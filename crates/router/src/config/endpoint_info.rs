use {
    super::key_map::Keyed,
    mango_wire::{
        EndpointKey,
        config::{Endpoint, EndpointKind},
        endpoint_key,
    },
    std::{collections::HashMap, net::SocketAddr},
};

/// Compiled configuration of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointInfo {
    pub(crate) key: EndpointKey,
    pub(crate) id: String,
    pub(crate) kind: EndpointKind,
    pub(crate) address: SocketAddr,
    pub(crate) region: String,
    pub(crate) zone: String,
    pub(crate) labels: HashMap<String, String>,
    /// Greatest number of requests that it serves at the same time.
    pub(crate) slots: u32,
    /// Capacity relative to the other endpoints of its pools.
    pub(crate) weight: f64,
    /// Whether it refuses orders with a lower fencing number than one it has seen.
    pub(crate) checks_fencing: bool,
    /// Ids of the idempotent kinds of work that may be repeated on it; all if empty.
    pub(crate) repeatable: Vec<String>,
    pub(crate) version: u64,
    // kept as written, because an IPv6 address has several textual forms
    address_text: String,
    kind_text: &'static str,
}

impl EndpointInfo {
    /// Compiles an endpoint. Returns an error if the address is malformed.
    pub(crate) fn new(endpoint: Endpoint, version: u64) -> Result<Self, String> {
        let address = endpoint.address.parse().map_err(|e| format!("address: {e}"))?;
        Ok(Self {
            key: endpoint_key(&endpoint.id),
            id: endpoint.id,
            kind: endpoint.kind,
            address,
            region: endpoint.region,
            zone: endpoint.zone,
            labels: endpoint.labels,
            slots: endpoint.slots,
            weight: endpoint.weight,
            checks_fencing: endpoint.checks_fencing,
            repeatable: endpoint.repeatable,
            version,
            address_text: endpoint.address,
            kind_text: match endpoint.kind {
                EndpointKind::Engine => "engine",
                EndpointKind::Service => "service",
            },
        })
    }

    /// Whether this endpoint allows work of the idempotent kind `work` to be
    /// repeated. An empty `repeatable` list allows every kind.
    pub(crate) fn may_repeat(&self, work: &str) -> bool {
        self.repeatable.is_empty() || self.repeatable.iter().any(|id| id == work)
    }

    /// Value of a selector key: a built-in `endpoint.*` property or the name of
    /// a label.
    pub(crate) fn label(&self, key: &str) -> Option<&str> {
        match key {
            "endpoint.id" => Some(&self.id),
            "endpoint.kind" => Some(self.kind_text),
            "endpoint.region" => Some(&self.region),
            "endpoint.zone" => Some(&self.zone),
            _ => self.labels.get(key).map(String::as_str),
        }
    }

    /// Converts back to the configuration object.
    pub(crate) fn to_endpoint(&self) -> Endpoint {
        Endpoint {
            address: self.address_text.clone(),
            checks_fencing: self.checks_fencing,
            id: self.id.clone(),
            kind: self.kind,
            labels: self.labels.clone(),
            region: self.region.clone(),
            repeatable: self.repeatable.clone(),
            slots: self.slots,
            weight: self.weight,
            zone: self.zone.clone(),
        }
    }
}

impl Keyed for EndpointInfo {
    fn key(&self) -> u32 {
        self.key
    }

    fn id(&self) -> &str {
        &self.id
    }

    fn version(&self) -> u64 {
        self.version
    }
}
