use {mango_wire::platform::OrderKind, std::collections::HashMap};

// The role comes first, because it needs no ticket and must not wait for a load.
const LABELS: [(&str, OrderKind); 4] = [
    ("role", OrderKind::SetRole),
    ("load.model", OrderKind::LoadModel),
    ("load.adapter", OrderKind::LoadAdapter),
    ("load.version", OrderKind::LoadVersion),
];

/// Something that an engine's labels say it should have loaded, or its role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct DesiredItem {
    pub(crate) kind: OrderKind,
    /// Model, adapter, version or role.
    pub(crate) name: String,
}

impl DesiredItem {
    /// Items of an endpoint's labels, in the sequence in which they are ordered.
    pub(crate) fn of_labels(labels: &HashMap<String, String>) -> Vec<Self> {
        let item = |(label, kind): &(&str, OrderKind)| {
            labels.get(*label).map(|name| Self { kind: *kind, name: name.clone() })
        };
        LABELS.iter().filter_map(item).collect()
    }

    /// Whether the order reads from the weight store.
    pub(crate) fn is_load(&self) -> bool {
        self.kind != OrderKind::SetRole
    }

    /// Whether it replaces an earlier item of its kind; models and adapters add up.
    pub(crate) fn replaces(&self) -> bool {
        matches!(self.kind, OrderKind::LoadVersion | OrderKind::SetRole)
    }
}
