use {
    mango_wire::platform::{Order, OrderKind, OrderReply},
    std::collections::BTreeSet,
};

/// Effects of orders: what the engine has loaded and its role. Also holds the highest
/// fencing number since the start; fencing numbers rise with each owner of an engine.
#[derive(Default)]
pub(crate) struct OrderState {
    checks_fencing: bool,
    highest_fencing: u64,
    // names of what is loaded and of the role; there may be several models and adapters,
    // but only one version and one role
    loaded: BTreeSet<(OrderKind, String)>,
}

impl OrderState {
    pub(crate) fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, ..Self::default() }
    }

    /// Records a fencing number and returns whether it is current, i.e. not below the
    /// highest one so far. An engine that does not check fencing numbers accepts all of
    /// them and records none.
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
