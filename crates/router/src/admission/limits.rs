use {
    mango_wire::settings::{AdmissionSettings, HealthSettings, Policy},
    std::time::Duration,
};

/// Admission and health settings, converted to the types used in this module.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    pub(crate) policy: Policy,
    pub(crate) queue_max: usize,
    pub(crate) may_wait_queue_max: usize,
    pub(crate) may_wait_share: f64,
    pub(crate) short_reserve: f64,
    pub(crate) long_tokens: u32,
    pub(crate) dispatch_timeout: Duration,
    pub(crate) permit_idle_timeout: Duration,
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
            dispatch_timeout: Duration::from_millis(u64::from(admission.dispatch_ms)),
            permit_idle_timeout: Duration::from_millis(u64::from(admission.permit_idle_ms)),
            warm_chats_max: admission.warm_chats_max as usize,
            health: health.clone(),
        }
    }

    /// Number of slots that long work may take. With two or more slots, at least
    /// one is kept for short work and one for long work, so that neither starves.
    pub(crate) fn long_slots(&self, slots: u32) -> u32 {
        if slots < 2 {
            return slots;
        }
        let reserve = (f64::from(slots) * self.short_reserve) as u32;
        slots - reserve.clamp(1, slots - 1)
    }

    /// Time after the grant at which an unconfirmed permit is freed. It is longer
    /// than the dispatch timeout, because the confirmation of a request sent just
    /// in time still has to arrive.
    pub(crate) fn unused_permit_timeout(&self) -> Duration {
        self.dispatch_timeout * 2
    }
}
