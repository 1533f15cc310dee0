use {
    mango_wire::{EndpointKey, Epoch, TeamKey},
    serde::Serialize,
};

/// State of one owned engine for the state dump.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EngineState {
    pub(crate) endpoint: EndpointKey,
    pub(crate) id: String,
    /// Epoch under which this host last acted as the owner.
    pub(crate) epoch: Option<Epoch>,
    /// Whether this host may grant now.
    pub(crate) is_acting: bool,
    pub(crate) is_draining: bool,
    pub(crate) in_flight: u32,
    pub(crate) long_in_flight: u32,
    pub(crate) slots: u32,
    pub(crate) long_slots: u32,
    /// Pool keys with the engine's cap in each pool.
    pub(crate) caps: Vec<(u32, u32)>,
    pub(crate) queued: usize,
    pub(crate) may_wait_queued: usize,
    pub(crate) queued_by_team: Vec<(TeamKey, usize)>,
    /// Factor on the engine's weight by its measured health, in (0, 1].
    pub(crate) health_factor: f64,
    /// Whether the health factor reduces the engine's weight in at least one pool. A
    /// slow engine may keep its weight, since the number of degraded engines in a pool
    /// is limited.
    pub(crate) is_degraded: bool,
    pub(crate) first_token_ms: f64,
    pub(crate) gap_us: f64,
    pub(crate) warm_chats: usize,
    /// Newest decisions with their reasons, oldest first.
    pub(crate) decisions: Vec<String>,
}
