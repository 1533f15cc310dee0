use {
    super::relay_election::{ElectionInputs, should_relay},
    std::{
        cell::Cell,
        time::{Duration, Instant},
    },
};

/// How long a host counts as a new relay.
const NEW_RELAY_TIME: Duration = Duration::from_secs(1);

/// Whether this host relays, and what it heard of better-ranked relays.
pub(super) struct RelayRole {
    started_at: Instant,
    /// Time of the last status with a recent confirmation from a better-ranked relay.
    better_relay_seen_at: Cell<Option<Instant>>,
    is_relay: Cell<bool>,
    became_relay_at: Cell<Option<Instant>>,
    is_stopping: Cell<bool>,
}

/// What the role depends on besides the relays that were heard.
pub(super) struct RoleInputs {
    /// Whether the registry was read or another host was heard of.
    pub(super) knows_hosts: bool,
    /// Number of running hosts of the zone that would relay before this one.
    pub(super) hosts_before: u32,
    /// Time since this host's copy of the configuration log was confirmed to be current.
    pub(super) own_confirmation_age: Option<Duration>,
    /// Peers do not follow a relay whose confirmation is older than this.
    pub(super) max_confirmation_age: Duration,
}

impl RelayRole {
    pub(super) fn new() -> RelayRole {
        RelayRole {
            started_at: Instant::now(),
            better_relay_seen_at: Cell::new(None),
            is_relay: Cell::new(false),
            became_relay_at: Cell::new(None),
            is_stopping: Cell::new(false),
        }
    }

    pub(super) fn is_relay(&self) -> bool {
        self.is_relay.get()
    }

    /// Whether this host has relayed only for a short time, so that some hosts may not know it.
    pub(super) fn is_new_relay(&self) -> bool {
        self.became_relay_at.get().is_some_and(|at| at.elapsed() < NEW_RELAY_TIME)
    }

    /// Lets another host take over the role before this host stops.
    pub(super) fn stop(&self) {
        self.is_stopping.set(true);
    }

    pub(super) fn record_better_relay(&self, now: Instant) {
        self.better_relay_seen_at.set(Some(now));
    }

    /// Decides whether this host relays. Returns whether that changed.
    pub(super) fn update(&self, inputs: &RoleInputs) -> bool {
        let is_relay = should_relay(&ElectionInputs {
            since_better_relay: self.better_relay_seen_at.get().map(|at| at.elapsed()),
            since_start: self.started_at.elapsed(),
            knows_hosts: inputs.knows_hosts,
            hosts_before: inputs.hosts_before,
            is_stopping: self.is_stopping.get(),
            own_confirmation_age: inputs.own_confirmation_age,
            max_confirmation_age: inputs.max_confirmation_age,
        });
        let is_changed = self.is_relay.replace(is_relay) != is_relay;
        if is_changed {
            self.became_relay_at.set(is_relay.then(Instant::now));
        }
        is_changed
    }
}
