use {
    super::{DesiredItem, OrderError, RetryBackoff},
    mango_wire::{Epoch, platform::OrderReply},
    std::time::{Duration, Instant},
};

/// Delays before a failed order is sent again.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Desired and confirmed state of one engine under one epoch of its ownership.
///
/// In a new epoch nothing is confirmed yet, so the desired state is sent again after a
/// takeover. Nothing is ever unloaded: an item whose label was removed stays loaded.
#[derive(Debug)]
pub(crate) struct EngineOrderState {
    pub(crate) epoch: Epoch,
    pub(crate) desired: Vec<DesiredItem>,
    /// Names of the loaded items in the newest reply of the engine.
    pub(crate) loaded: Vec<String>,
    pub(crate) last_error: Option<String>,
    confirmed: Vec<DesiredItem>,
    /// Identity in the newest load report; each start of the engine has its own.
    identity: String,
    /// Restarts of the engine that were seen in this epoch.
    restarts: u64,
    /// Earliest time at which the next order may be sent.
    due_at: Instant,
    backoff: RetryBackoff,
}

impl EngineOrderState {
    /// Creates the state of a new epoch, whose first order may be sent at `due_at`.
    pub(crate) fn new(epoch: Epoch, due_at: Instant) -> Self {
        Self {
            epoch,
            desired: Vec::new(),
            loaded: Vec::new(),
            last_error: None,
            confirmed: Vec::new(),
            identity: String::new(),
            restarts: 0,
            due_at,
            backoff: RetryBackoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY),
        }
    }

    /// Stores the items of the current configuration. If they changed after an order had
    /// failed, the next order is due at once instead of after the retry delay. The time
    /// before which the first order must not be sent is kept.
    pub(crate) fn set_desired(&mut self, desired: Vec<DesiredItem>, now: Instant) {
        if self.desired == desired {
            return;
        }
        self.desired = desired;
        if self.last_error.take().is_some() {
            self.backoff.reset();
            self.due_at = now;
        }
    }

    /// Stores the identity in the newest load report. If the engine has restarted, it has
    /// nothing loaded, so all orders are to be sent again.
    pub(crate) fn set_identity(&mut self, identity: &str) {
        if self.identity == identity {
            return;
        }
        if !self.identity.is_empty() {
            self.restarts += 1;
            self.confirmed.clear();
            self.loaded.clear();
        }
        identity.clone_into(&mut self.identity);
    }

    /// Next missing item whose order is due, and the number of restarts to pass to
    /// `confirm`. Loads are left out unless `may_load` is set.
    pub(crate) fn next_order(&self, now: Instant, may_load: bool) -> Option<(DesiredItem, u64)> {
        if now < self.due_at {
            return None;
        }
        let is_missing = |item: &&DesiredItem| {
            let is_loaded = self.confirmed.contains(item) && self.loaded.contains(&item.name);
            !is_loaded && (may_load || !item.is_load())
        };
        self.desired.iter().find(is_missing).map(|item| (item.clone(), self.restarts))
    }

    /// Records an order that was carried out. It is ignored if the engine has restarted
    /// since `next_order` returned the item.
    pub(crate) fn confirm(&mut self, item: DesiredItem, restarts: u64, reply: OrderReply) {
        if restarts != self.restarts {
            return;
        }
        self.confirmed
            .retain(|c| c.kind != item.kind || !(item.replaces_same_kind() || *c == item));
        self.confirmed.push(item);
        self.loaded = reply.loaded;
        self.last_error = None;
        self.backoff.reset();
    }

    /// Records a failed order and sets the time of the next attempt.
    pub(crate) fn record_failure(&mut self, error: &OrderError, now: Instant) {
        self.last_error = Some(error.to_string());
        self.due_at = now + self.backoff.next_delay();
    }
}
