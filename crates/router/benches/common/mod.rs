use {
    anyhow::Result,
    mango_wire::settings::{AdmissionSettings, Policy, Settings},
};

/// The product first, then the baselines.
pub(crate) const POLICIES: [Policy; 5] =
    [Policy::Owner, Policy::Random, Policy::LeastReported, Policy::TwoChoices, Policy::Rendezvous];

/// Settings of the routers of one policy.
pub(crate) fn adjust(policy: Policy) -> fn(&mut Settings) {
    match policy {
        Policy::Owner => |settings| set_policy(settings, Policy::Owner),
        Policy::Random => |settings| set_policy(settings, Policy::Random),
        Policy::LeastReported => |settings| set_policy(settings, Policy::LeastReported),
        Policy::TwoChoices => |settings| set_policy(settings, Policy::TwoChoices),
        Policy::Rendezvous => |settings| set_policy(settings, Policy::Rendezvous),
    }
}

fn set_policy(settings: &mut Settings, policy: Policy) {
    settings.admission = Some(AdmissionSettings { policy, ..AdmissionSettings::default() });
    settings.log_spec = "error".to_owned();
}

/// Tries a configuration change up to three times; it may time out on a busy machine.
pub(crate) fn retry(change: impl Fn() -> Result<()>) -> Result<()> {
    change().or_else(|_| change()).or_else(|_| change())
}
