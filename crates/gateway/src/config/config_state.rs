use {
    super::routing_config::RoutingConfig,
    crate::clock::BootInstant,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

/// The configuration in force, and until when it is known to be the newest.
///
/// The version never decreases within a process.
pub(crate) struct ConfigState {
    current: RefCell<Option<Rc<RoutingConfig>>>,
    confirmed_at: Cell<Option<BootInstant>>,
    /// Keys are refused once the last confirmation is older than this.
    max_confirmation_age: Duration,
}

impl ConfigState {
    pub(crate) fn new(max_confirmation_age: Duration) -> ConfigState {
        ConfigState {
            current: RefCell::new(None),
            confirmed_at: Cell::new(None),
            max_confirmation_age,
        }
    }

    pub(crate) fn current(&self) -> Option<Rc<RoutingConfig>> {
        self.current.borrow().clone()
    }

    pub(crate) fn version(&self) -> u64 {
        self.current.borrow().as_ref().map_or(0, |config| config.version)
    }

    /// Takes a configuration unless a newer one is in force. Returns whether it was taken.
    pub(crate) fn replace_if_newer(&self, config: Rc<RoutingConfig>) -> bool {
        let is_newer = self.current().is_none_or(|current| config.version > current.version);
        if is_newer {
            self.current.replace(Some(config));
        }
        is_newer
    }

    /// Records that the store held nothing newer at this time.
    pub(crate) fn confirm(&self, at: BootInstant) {
        if self.confirmed_at.get().is_none_or(|earlier| at > earlier) {
            self.confirmed_at.set(Some(at));
        }
    }

    pub(crate) fn confirmation_age(&self, now: BootInstant) -> Option<Duration> {
        self.confirmed_at.get().map(|at| now.saturating_duration_since(at))
    }

    /// Whether API keys may be trusted now.
    pub(crate) fn is_confirmed(&self, now: BootInstant) -> bool {
        self.confirmation_age(now).is_some_and(|age| age <= self.max_confirmation_age)
    }
}
