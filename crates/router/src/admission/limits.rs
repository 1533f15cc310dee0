use {
    mango_wire::settings::{AdmissionSettings, HealthSettings, Policy},
    std::time::Duration,
};

/// Settings in the units of this module.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    pub(crate) policy: Policy,
    pub(crate) queue_max: usize,
    pub(crate) may_wait_queue_max: usize,
    pub(crate) may_wait_share: f64,
    pub(crate) short_reserve: f64,
    pub(crate) long_tokens: u32,
    pub(crate) dispatch: Duration,
    pub(crate) permit_idle: Duration,
    pub(crate) warm_chats_max: usize,
    pub(crate) health: HealthSettings,
}

impl Limits {
    pub(crate) fn new(admission: &AdmissionSettings, health: &HealthSettings) -> Self {
        Self {
            policy: admission.policy,
            queue_max: admission.queue_max as usize,
            may_wait_queue_max: admission.may_wait_queue_max as usize,
            may_wait_share: admission.may_wait_share.clamp(0.0, 1.0),
            short_reserve: admission.short_reserve.clamp(0.0, 1.0),
            long_tokens: admission.long_tokens,
            dispatch: Duration::from_millis(u64::from(admission.dispatch_ms)),
            permit_idle: Duration::from_millis(u64::from(admission.permit_idle_ms)),
            warm_chats_max: admission.warm_chats_max as usize,
            health: health.clone(),
        }
    }

    /// Slots that long work may take. Short work keeps at least one slot of two or
    /// more, and long work at least one, so that neither starves.
    pub(crate) fn long_slots(&self, slots: u32) -> u32 {
        if slots < 2 {
            return slots;
        }
        let reserve = (f64::from(slots) * self.short_reserve) as u32;
        slots - reserve.clamp(1, slots - 1)
    }

    /// Time after the grant at which a permit counts as unused. The confirmation of
    /// a request sent at the deadline needs time to arrive.
    pub(crate) fn unused_after(&self) -> Duration {
        self.dispatch * 2
    }
}
