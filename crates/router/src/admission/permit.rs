use {
    mango_wire::{ChatKey, Epoch, PoolKey, TeamKey, WorkKey, config::WorkClass},
    std::time::Instant,
};

/// An engine slot granted to one request.
#[derive(Clone, Debug)]
pub(crate) struct Permit {
    /// Hash of the host id of the entry router, which holds the permit.
    pub(crate) origin: u64,
    pub(crate) request: u64,
    pub(crate) team: TeamKey,
    pub(crate) work: WorkKey,
    pub(crate) class: WorkClass,
    pub(crate) pool: PoolKey,
    pub(crate) chat: ChatKey,
    /// Whether the engine was assumed to have the chat cached when it was granted.
    pub(crate) warm: bool,
    /// Whether it counts towards the limit on long work.
    pub(crate) long: bool,
    /// Epoch of the owner that granted it.
    pub(crate) epoch: Epoch,
    pub(crate) granted_at: Instant,
    /// When it is freed unless its holder releases it or confirms its use before.
    pub(crate) free_at: Option<Instant>,
    /// Whether its holder confirmed that the request was sent.
    pub(crate) in_use: bool,
    pub(crate) has_first_token: bool,
    /// Whether its late first token was recorded in the engine's health.
    pub(crate) counted_late: bool,
    /// When its holder last listed it in a `Reregister` message.
    pub(crate) reregistered_at: Option<Instant>,
}

/// Distance between the priorities of two work classes; lower priorities run first.
const PRIORITY_STEP: u16 = 10;
const LONG_PENALTY: u16 = 5;
/// Penalty of work that turned out long, which runs after all other work of the engine.
const DEMOTED_PENALTY: u16 = 30;

impl Permit {
    pub(crate) fn priority(class: WorkClass, long: bool) -> u16 {
        let base = match class {
            WorkClass::Urgent => 0,
            WorkClass::Normal => PRIORITY_STEP,
            WorkClass::MayWait => 2 * PRIORITY_STEP,
        };
        base + if long { LONG_PENALTY } else { 0 }
    }

    pub(crate) fn demoted_priority(&self) -> u16 {
        Self::priority(self.class, true) + DEMOTED_PENALTY
    }
}
