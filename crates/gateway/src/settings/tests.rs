use super::{Activation, OverloadPolicy, OverloadSettings};

const NOTHING: OverloadPolicy = OverloadPolicy {
    timely_admission: false,
    fleet_demand: false,
    endpoint_outages: false,
    crowded_placement: false,
};

/// Guards against parts that act on deployments that do not ask for them, or cannot be switched.
#[test]
fn parts_act_where_targets_or_settings_ask_for_them() {
    let settings = OverloadSettings::default();
    assert_eq!(settings.policy(false), NOTHING);
    assert!(settings.policy(true).timely_admission && settings.policy(true).crowded_placement);
    let settings = OverloadSettings {
        fleet_demand: Activation::On,
        endpoint_outages: Activation::Off,
        ..settings
    };
    assert_eq!(settings.policy(false), OverloadPolicy { fleet_demand: true, ..NOTHING });
    assert!(!settings.policy(true).endpoint_outages);
}

/// Guards against a misspelt part that is silently ignored.
#[test]
fn unknown_parts_are_refused() {
    let parse = |text| serde_json::from_str::<OverloadSettings>(text);
    let settings = parse(r#"{"timely_admission": "off"}"#).expect("valid settings");
    assert_eq!(settings.timely_admission, Activation::Off);
    assert_eq!(settings.fleet_demand, Activation::ByTargets);
    assert!(parse(r#"{"timely_admision": "off"}"#).is_err());
    assert!(parse(r#"{"timely_admission": "sometimes"}"#).is_err());
}
