use {mango_wire::platform::OrderKind, std::collections::HashMap};

/// Labels that state a desired item, in the sequence in which their orders are sent. The
/// role comes first, because it needs no ticket and must not wait for a load.
const ITEM_LABELS: [(&str, OrderKind); 4] = [
    ("role", OrderKind::SetRole),
    ("load.model", OrderKind::LoadModel),
    ("load.adapter", OrderKind::LoadAdapter),
    ("load.version", OrderKind::LoadVersion),
];

/// Model, adapter or version that an engine should load according to its labels, or the
/// role that it should have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct DesiredItem {
    pub(crate) kind: OrderKind,
    /// Model, adapter, version or role.
    pub(crate) name: String,
}

impl DesiredItem {
    /// Items that the labels of an endpoint state, in the sequence of their orders.
    pub(crate) fn from_labels(labels: &HashMap<String, String>) -> Vec<Self> {
        let item = |(label, kind): &(&str, OrderKind)| {
            labels.get(*label).map(|name| Self { kind: *kind, name: name.clone() })
        };
        ITEM_LABELS.iter().filter_map(item).collect()
    }

    /// Whether the order reads from the weight store.
    pub(crate) fn is_load(&self) -> bool {
        self.kind != OrderKind::SetRole
    }

    /// Whether the item replaces an earlier one of its kind. An engine can have several
    /// models and adapters at once.
    pub(crate) fn replaces_same_kind(&self) -> bool {
        matches!(self.kind, OrderKind::LoadVersion | OrderKind::SetRole)
    }
}
