use {
    super::check::check_settings,
    anyhow::{Context, Result, anyhow},
    mango_wire::settings::Settings,
    std::{fs, path::Path},
};

/// Loads and checks a settings file. Errors name the file, the path of the invalid
/// setting and the expected value. They do not contain secrets.
pub(crate) fn load_settings(path: &Path) -> Result<Settings> {
    let file = path.display();
    let text = fs::read_to_string(path).with_context(|| format!("{file}"))?;
    parse_settings(&text).with_context(|| format!("{file}"))
}

pub(super) fn parse_settings(text: &str) -> Result<Settings> {
    let mut json = serde_json::Deserializer::from_str(text);
    let settings: Settings = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        match e.path().to_string().as_str() {
            // the text of the inner error contains the secret
            path @ ("peer_secret" | "operator_token") => anyhow!("{path}: expected a string"),
            path => anyhow!("{path}: {}", e.inner()),
        }
    })?;
    json.end().context("after the settings")?;
    let errors = check_settings(&settings);
    if !errors.is_empty() {
        return Err(anyhow!(errors.join("\n")));
    }
    Ok(settings)
}
