use {
    mango_wire::platform::{Order, OrderKind, OrderReply},
    std::collections::BTreeSet,
};

/// State that orders change: the loaded items and the engine's role, and the highest
/// fencing number since the start.
#[derive(Default)]
pub(crate) struct OrderState {
    checks_fencing: bool,
    highest_fencing: u64,
    // several models and adapters may be loaded, but only one version and one role
    loaded: BTreeSet<(OrderKind, String)>,
}

impl OrderState {
    pub(crate) fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, ..Self::default() }
    }

    /// Whether a fencing number is current, i.e. not below the highest one so far. An
    /// engine that does not check fencing numbers accepts and ignores all of them.
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
