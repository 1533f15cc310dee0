use {
    super::gateway_settings::GatewaySettings,
    anyhow::{Context, Result, bail},
    std::{fs, path::Path},
};

/// Reads and validates a settings file (JSON). Errors name the file and the field.
pub fn load_settings(path: &Path) -> Result<GatewaySettings> {
    let text = fs::read_to_string(path)
        .with_context(|| format!("cannot read settings file {}", path.display()))?;
    let mut deserializer = serde_json::Deserializer::from_str(&text);
    let settings: GatewaySettings = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| {
            let field = e.path().to_string();
            anyhow::anyhow!("field {field}: {}", e.into_inner())
        })
        .with_context(|| format!("invalid settings file {}", path.display()))?;
    validate(&settings).with_context(|| format!("invalid settings file {}", path.display()))?;
    Ok(settings)
}

fn validate(settings: &GatewaySettings) -> Result<()> {
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
        ("bounds.cold_request_factor", bounds.cold_request_factor),
    ];
    for (field, value) in numbers {
        if !value.is_finite() || value < 0.0 {
            bail!("field {field}: must be a finite number of at least 0, but is {value}");
        }
    }
    if settings.max_open_files < 64 {
        bail!("field max_open_files: must be at least 64, but is {}", settings.max_open_files);
    }
    Ok(())
}
