use {
    super::{DesiredItem, OrderError, RetryBackoff},
    mango_wire::{Epoch, platform::OrderReply},
    std::time::{Duration, Instant},
};

const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// Desired and confirmed state of one engine under one epoch of its ownership.
///
/// A new epoch starts with nothing confirmed, so the desired state is sent again after
/// a takeover. Nothing is ever unloaded: an item without a label stays as it is.
#[derive(Debug)]
pub(crate) struct EngineOrderState {
    pub(crate) epoch: Epoch,
    pub(crate) desired: Vec<DesiredItem>,
    /// Names in the engine's newest reply.
    pub(crate) loaded: Vec<String>,
    pub(crate) last_error: Option<String>,
    confirmed: Vec<DesiredItem>,
    identity: String,
    /// Starts of the engine that were seen.
    starts: u64,
    due_at: Instant,
    pause: RetryBackoff,
}

impl EngineOrderState {
    /// Starts an epoch whose first order may be sent at `due_at`.
    pub(crate) fn new(epoch: Epoch, due_at: Instant) -> Self {
        Self {
            epoch,
            desired: Vec::new(),
            loaded: Vec::new(),
            last_error: None,
            confirmed: Vec::new(),
            identity: String::new(),
            starts: 0,
            due_at,
            pause: RetryBackoff::new(FIRST_PAUSE, LONGEST_PAUSE),
        }
    }

    /// Takes the items of the present configuration. A change is not held up by the
    /// pause after earlier failures, unless the first order is not due yet.
    pub(crate) fn set_desired(&mut self, desired: Vec<DesiredItem>, now: Instant) {
        if self.desired == desired {
            return;
        }
        self.desired = desired;
        if self.last_error.take().is_some() {
            self.pause.reset();
            self.due_at = now;
        }
    }

    /// Takes the identity of the engine's newest load report. A restarted engine has
    /// nothing loaded.
    pub(crate) fn set_identity(&mut self, identity: &str) {
        if self.identity == identity {
            return;
        }
        if !self.identity.is_empty() {
            self.starts += 1;
            self.confirmed.clear();
            self.loaded.clear();
        }
        identity.clone_into(&mut self.identity);
    }

    /// Next order that is due, and the engine's start to confirm it for.
    pub(crate) fn next(&self, now: Instant, may_load: bool) -> Option<(DesiredItem, u64)> {
        if now < self.due_at {
            return None;
        }
        let is_missing = |item: &&DesiredItem| {
            let is_loaded = self.confirmed.contains(item) && self.loaded.contains(&item.name);
            !is_loaded && (may_load || !item.is_load())
        };
        self.desired.iter().find(is_missing).map(|item| (item.clone(), self.starts))
    }

    /// Takes the reply to an order that was carried out.
    pub(crate) fn confirm(&mut self, item: DesiredItem, starts: u64, reply: OrderReply) {
        if starts != self.starts {
            return;
        }
        self.confirmed.retain(|c| c.kind != item.kind || !(item.replaces() || *c == item));
        self.confirmed.push(item);
        self.loaded = reply.loaded;
        self.last_error = None;
        self.pause.reset();
    }

    /// Notes a failed order and when the next try is due.
    pub(crate) fn fail(&mut self, error: &OrderError, now: Instant) {
        self.last_error = Some(error.to_string());
        self.due_at = now + self.pause.next_delay();
    }
}
