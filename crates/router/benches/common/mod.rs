use {
    anyhow::{Result, ensure},
    mango_testkit::LocalFleet,
    mango_wire::{
        config::{Change, ConfigObject, ConfigRecord, ObjectKey, ObjectKind},
        settings::{AdmissionSettings, Policy, Settings},
    },
    mangobridge::RouterHandle,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// The default policy (`Owner`) first, then the baselines that it is compared with.
pub(crate) const POLICIES: [Policy; 5] =
    [Policy::Owner, Policy::Random, Policy::LeastReported, Policy::TwoChoices, Policy::Rendezvous];

/// Returns the change to a router's settings that selects a policy.
pub(crate) fn adjust_for(policy: Policy) -> fn(&mut Settings) {
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

/// Appends a configuration change to the log and waits until it is in force on all
/// running routers. It doesn't use `mangoctl`, which would wait 15 s each time a
/// router's operator address drops the connection.
pub(crate) fn apply_change(
    fleet: &LocalFleet,
    put: &[ConfigObject],
    delete: &[&str],
) -> Result<()> {
    let based_on = fleet.routers.iter().map(RouterHandle::config_version).max().unwrap_or(0);
    let delete =
        delete.iter().map(|id| ObjectKey { kind: ObjectKind::Endpoint, id: (*id).to_owned() });
    let record = ConfigRecord::Change(Change {
        change_id: format!("bench-{}", fleet.platform.next_offset()),
        author: "bench".to_owned(),
        based_on,
        made_at_ms: 0,
        put: put.to_vec(),
        delete: delete.collect(),
    });
    let version = fleet.platform.append("config", &serde_json::to_string(&record)?);
    let deadline = Instant::now() + Duration::from_secs(10);
    while fleet.routers.iter().any(|router| router.config_version() < version) {
        ensure!(
            Instant::now() < deadline,
            "configuration version {version} is not in force on all routers after 10 s"
        );
        thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}
