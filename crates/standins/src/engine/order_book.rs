use {
    mango_wire::platform::{Order, OrderKind, OrderReply},
    std::collections::BTreeSet,
};

/// What is loaded, and the highest fencing number of this start.
#[derive(Default)]
pub(crate) struct OrderBook {
    checks_fencing: bool,
    highest_fencing: u64,
    // models and adapters add up; a version or a role replaces the last one
    loaded: BTreeSet<(OrderKind, String)>,
}

impl OrderBook {
    pub(crate) fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, ..Self::default() }
    }

    /// Whether a fencing number is current; an engine that does not check
    /// accepts all and keeps none.
    pub(crate) fn accepts(&mut self, fencing: u64) -> bool {
        if !self.checks_fencing {
            return true;
        }
        let is_current = fencing >= self.highest_fencing;
        self.highest_fencing = self.highest_fencing.max(fencing);
        is_current
    }

    pub(crate) fn apply(&mut self, order: &Order) {
        if matches!(order.kind, OrderKind::LoadVersion | OrderKind::SetRole) {
            self.loaded.retain(|(kind, _)| *kind != order.kind);
        }
        self.loaded.insert((order.kind, order.name.clone()));
    }

    pub(crate) fn reply(&self, accepted: bool) -> OrderReply {
        let loaded = self.loaded.iter().map(|(_, name)| name.clone()).collect();
        OrderReply { accepted, highest_fencing: self.highest_fencing, loaded }
    }
}
