use {
    crate::api::ConfigListing,
    anyhow::{Context, Result, anyhow, bail},
    mango_wire::config::ConfigObject,
    serde::de::DeserializeOwned,
    serde_json::Value,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Objects read from one or more configuration files.
#[derive(Clone, Debug, Default)]
pub struct ConfigFile {
    /// Objects in the order in which they were read.
    pub objects: Vec<ConfigObject>,
    /// Lowest version among the listings that were read; `None` if there was no listing.
    pub version: Option<u64>,
}

/// Reads the objects of a configuration file, or of all `.json` files in a
/// directory, sorted by name. A file contains a sequence of JSON values, each of
/// which is an object, an array of objects, or a listing as `GET /config`
/// returns it.
///
/// Errors give the file and the path of the invalid field.
pub fn read_objects(path: &Path) -> Result<ConfigFile> {
    let mut config = ConfigFile::default();
    for file in list_config_files(path)? {
        let text = fs::read_to_string(&file).with_context(|| format!("{}", file.display()))?;
        let part = parse_objects(&text).with_context(|| format!("{}", file.display()))?;
        config.merge(part);
    }
    Ok(config)
}

/// Parses the text of a configuration file; see [`read_objects`] for the format.
pub fn parse_objects(text: &str) -> Result<ConfigFile> {
    let mut config = ConfigFile::default();
    for value in serde_json::Deserializer::from_str(text).into_iter::<Value>() {
        match value? {
            Value::Array(items) => {
                for (index, item) in items.into_iter().enumerate() {
                    config.objects.push(parse_object(item).with_context(|| format!("[{index}]"))?);
                }
            }
            value if value.get("objects").is_some() => config.merge(parse_listing(value)?),
            value => config.objects.push(parse_object(value)?),
        }
    }
    Ok(config)
}

impl ConfigFile {
    /// Appends the objects of another file or listing and keeps the lower version.
    fn merge(&mut self, part: Self) {
        self.objects.extend(part.objects);
        self.version = match (self.version, part.version) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }
}

fn parse_listing(value: Value) -> Result<ConfigFile> {
    let listing: ConfigListing = serde_path_to_error::deserialize(value)
        .map_err(|e| anyhow!("{}: {}", e.path(), e.inner()))?;
    let objects = listing.objects.into_iter().map(|entry| entry.object).collect();
    Ok(ConfigFile { objects, version: Some(listing.version) })
}

// Matches the variant tag by hand, because errors inside an externally tagged
// serde enum lose the path of the field.
fn parse_object(value: Value) -> Result<ConfigObject> {
    let Value::Object(fields) = value else {
        bail!("expected an object with one of the fields endpoint, pool, team, work, route");
    };
    if fields.len() != 1 {
        bail!("{} fields, expected exactly one of endpoint, pool, team, work, route", fields.len());
    }
    let Some((kind, value)) = fields.into_iter().next() else { bail!("empty object") };
    match kind.as_str() {
        "endpoint" => parse_fields(&kind, value).map(ConfigObject::Endpoint),
        "pool" => parse_fields(&kind, value).map(ConfigObject::Pool),
        "team" => parse_fields(&kind, value).map(ConfigObject::Team),
        "work" => parse_fields(&kind, value).map(ConfigObject::Work),
        "route" => parse_fields(&kind, value).map(ConfigObject::Route),
        _ => bail!("unknown field {kind:?}, expected one of endpoint, pool, team, work, route"),
    }
}

fn parse_fields<T: DeserializeOwned>(kind: &str, value: Value) -> Result<T> {
    let id = value.get("id").and_then(Value::as_str).unwrap_or("without id").to_owned();
    serde_path_to_error::deserialize(value)
        .map_err(|e| anyhow!("{kind} {id}: {}: {}", e.path(), e.inner()))
}

fn list_config_files(path: &Path) -> Result<Vec<PathBuf>> {
    let metadata = fs::metadata(path).with_context(|| format!("{}", path.display()))?;
    if !metadata.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path).with_context(|| format!("{}", path.display()))? {
        let file = entry?.path();
        if file.extension().is_some_and(|extension| extension == "json") {
            files.push(file);
        }
    }
    files.sort();
    if files.is_empty() {
        bail!("{}: no .json files", path.display());
    }
    Ok(files)
}
