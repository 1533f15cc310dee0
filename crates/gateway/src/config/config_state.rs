use {
    super::routing_config::RoutingConfig,
    crate::clock::BootInstant,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

/// The configuration in force, and when the store last confirmed that it is the newest.
///
/// The version never decreases while the process runs.
pub(crate) struct ConfigState {
    current: RefCell<Option<Rc<RoutingConfig>>>,
    confirmed_at: Cell<Option<BootInstant>>,
    /// Maximum age of the last confirmation at which API keys are trusted.
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

    /// The configuration in force; `None` until the first one is received.
    pub(crate) fn current(&self) -> Option<Rc<RoutingConfig>> {
        self.current.borrow().clone()
    }

    /// Version of the configuration in force; 0 until the first one is received.
    pub(crate) fn version(&self) -> u64 {
        self.current.borrow().as_ref().map_or(0, |config| config.version)
    }

    /// Replaces the configuration in force if the version of `config` is higher. Returns whether
    /// it was replaced.
    pub(crate) fn replace_if_newer(&self, config: Rc<RoutingConfig>) -> bool {
        let is_newer = self.current().is_none_or(|current| config.version > current.version);
        if is_newer {
            self.current.replace(Some(config));
        }
        is_newer
    }

    /// Records that at this time the store contained no newer configuration. Ignores times
    /// before the last confirmation.
    pub(crate) fn confirm(&self, at: BootInstant) {
        if self.confirmed_at.get().is_none_or(|last| at > last) {
            self.confirmed_at.set(Some(at));
        }
    }

    /// Time since the last confirmation; `None` before the first one.
    pub(crate) fn confirmation_age(&self, now: BootInstant) -> Option<Duration> {
        self.confirmed_at.get().map(|at| now.saturating_duration_since(at))
    }

    /// Whether the last confirmation is recent enough to trust the API keys.
    pub(crate) fn is_confirmed(&self, now: BootInstant) -> bool {
        self.confirmation_age(now).is_some_and(|age| age <= self.max_confirmation_age)
    }
}
