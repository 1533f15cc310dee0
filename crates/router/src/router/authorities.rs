use {
    super::engine_resources::EngineResources,
    crate::{
        admission::Authority,
        claims::RangeAuthority,
        orders::EngineAuthority,
        ownership::{Ownership, OwnershipMode, ResourceId},
    },
    mango_wire::{EndpointKey, Epoch},
    std::sync::Arc,
};

/// Returns the epoch under which this host may act on an engine, if it owns the engine.
pub(crate) struct EngineRights {
    ownership: Arc<Ownership>,
    resources: Arc<EngineResources>,
}

impl EngineRights {
    pub(crate) fn new(ownership: Arc<Ownership>, resources: Arc<EngineResources>) -> Self {
        Self { ownership, resources }
    }
}

impl Authority for EngineRights {
    fn acting_epoch(&self, endpoint: EndpointKey) -> Option<Epoch> {
        self.resources.with(endpoint, |resource| self.ownership.acting_epoch(resource))
    }
}

impl EngineAuthority for EngineRights {
    fn acting_epoch(&self, engine: &str) -> Option<Epoch> {
        self.ownership.acting_epoch(&ResourceId::engine(engine))
    }
}

/// Returns the epoch under which this host may act on a key range, if it owns the range.
pub(crate) struct RangeRights {
    ownership: Arc<Ownership>,
    ranges: Vec<ResourceId>,
}

impl RangeRights {
    pub(crate) fn new(ownership: Arc<Ownership>, ranges: u32) -> Self {
        Self { ownership, ranges: (0..ranges).map(ResourceId::keys).collect() }
    }
}

impl RangeAuthority for RangeRights {
    fn acting_epoch(&self, range: u32) -> Option<Epoch> {
        self.ownership.acting_epoch(self.ranges.get(range as usize)?)
    }

    fn in_verified_outage(&self) -> bool {
        matches!(self.ownership.mode(), OwnershipMode::VerifiedOutage { .. })
    }

    fn outages(&self) -> Vec<(u64, u64)> {
        self.ownership.outages_ms()
    }
}
