use {
    mango_wire::{ChatKey, Epoch, PoolKey, TeamKey, WorkKey, config::WorkClass},
    std::time::Instant,
};

/// A slot of an engine given to one request.
#[derive(Clone, Debug)]
pub(crate) struct Permit {
    /// Hash of the entry router's host id.
    pub(crate) origin: u64,
    pub(crate) request: u64,
    pub(crate) team: TeamKey,
    pub(crate) work: WorkKey,
    pub(crate) class: WorkClass,
    pub(crate) pool: PoolKey,
    pub(crate) chat: ChatKey,
    pub(crate) warm: bool,
    /// Whether it counts against the limit of long work.
    pub(crate) long: bool,
    /// Epoch of the owner that granted it.
    pub(crate) epoch: Epoch,
    pub(crate) granted_at: Instant,
    /// When it is released without a message from its holder.
    pub(crate) free_at: Option<Instant>,
    /// Whether its holder confirmed that the request was sent.
    pub(crate) in_use: bool,
    pub(crate) has_first_token: bool,
    /// Whether its late first token was counted against the engine.
    pub(crate) counted_late: bool,
    pub(crate) reregistered_at: Option<Instant>,
}

/// Engine priorities; lower runs first. Work that turned out long runs after all
/// other work of the engine.
const PRIORITY_STEP: u16 = 10;
const LONG_PENALTY: u16 = 5;
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
