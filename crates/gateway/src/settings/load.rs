use {
    super::gateway_settings::GatewaySettings,
    anyhow::{Context, Result, bail},
    std::{fs, path::Path},
};

/// Reads and checks a settings file (JSON). Errors name the file and the field.
pub fn load_settings(path: &Path) -> Result<GatewaySettings> {
    let text = fs::read_to_string(path).with_context(|| format!("{}", path.display()))?;
    let mut deserializer = serde_json::Deserializer::from_str(&text);
    let settings: GatewaySettings = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| {
            let field = e.path().to_string();
            anyhow::anyhow!("field {field}: {}", e.into_inner())
        })
        .with_context(|| format!("{}", path.display()))?;
    check(&settings).with_context(|| format!("{}", path.display()))?;
    Ok(settings)
}

fn check(settings: &GatewaySettings) -> Result<()> {
    let bounds = &settings.bounds;
    let numbers = [
        ("link_mbps", settings.link_mbps),
        ("bounds.key_revocation_ms", bounds.key_revocation_ms),
        ("bounds.config_apply_ms", bounds.config_apply_ms),
        ("bounds.endpoint_drain_ms", bounds.endpoint_drain_ms),
        ("bounds.stop_grace_s", bounds.stop_grace_s),
        ("bounds.retry_budget_ratio", bounds.retry_budget_ratio),
        ("bounds.retry_budget_window_s", bounds.retry_budget_window_s),
        ("bounds.retry_budget_allowance", bounds.retry_budget_allowance),
    ];
    for (field, value) in numbers {
        if !value.is_finite() || value < 0.0 {
            bail!("field {field}: {value} is not a number of 0 or more");
        }
    }
    if settings.max_open_files < 64 {
        bail!("field max_open_files: {} is under 64", settings.max_open_files);
    }
    Ok(())
}
