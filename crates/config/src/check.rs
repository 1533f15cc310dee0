use {
    crate::{
        object::{ObjectName, object_name},
        selector::Selector,
        selector_parser::is_word_char,
    },
    mango_wire::{
        config::{ConfigObject, Endpoint, ObjectKind, Pool, Route, Team, Work},
        endpoint_key, pool_key, team_key, work_key,
    },
    std::{
        collections::{BTreeSet, HashMap},
        fmt,
        net::SocketAddr,
    },
};

// Ids are part of resource names, header values and URLs, so their length and
// characters are limited.
const MAX_ID_BYTES: usize = 128;
const MAX_LABELS: usize = 64;
const MAX_LABEL_BYTES: usize = 128;
// Prefixes of the labels that are derived from the fields of an object, such as
// `endpoint.zone`.
const RESERVED_LABEL_PREFIXES: [&str; 3] = ["endpoint.", "team.", "work."];

/// Validation error in one field of a configuration object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Name of the object.
    pub object: ObjectName,
    /// Path of the field within the object, for example `labels.sector`.
    pub path: String,
    /// What is wrong and what is expected.
    pub detail: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.object, self.path, self.detail)
    }
}

impl std::error::Error for Problem {}

/// Checks one object without its references: id, labels, selectors, addresses and
/// value ranges. Returns the first problem.
pub fn check_object(object: &ConfigObject) -> Result<(), Problem> {
    let result = match object {
        ConfigObject::Endpoint(endpoint) => check_endpoint(endpoint),
        ConfigObject::Pool(pool) => check_pool(pool),
        ConfigObject::Team(team) => check_team(team),
        ConfigObject::Work(work) => check_work(work),
        ConfigObject::Route(route) => check_route(route),
    };
    result.map_err(|(path, detail)| Problem { object: object_name(object), path, detail })
}

/// Checks a complete configuration: each object by itself, duplicate ids, ids
/// whose keys collide, and references to objects that do not exist.
pub fn check_objects(objects: &[ConfigObject]) -> Vec<Problem> {
    let mut problems: Vec<Problem> =
        objects.iter().filter_map(|object| check_object(object).err()).collect();
    let mut names = BTreeSet::new();
    let mut keys: HashMap<(ObjectKind, u32), ObjectName> = HashMap::new();
    for object in objects {
        let name = object_name(object);
        let mut report = |detail: String| {
            problems.push(Problem { object: name.clone(), path: "id".to_owned(), detail });
        };
        if !names.insert(name.clone()) {
            report("occurs twice".to_owned());
            continue;
        }
        let Some(key) = truncated_key(&name) else { continue };
        if let Some(other) = keys.insert((name.kind, key), name.clone()) {
            report(format!("its key collides with that of {other}; choose another id"));
        }
    }
    for object in objects {
        for (path, target) in references(object) {
            if !names.contains(&target) {
                let detail = format!("{target} does not exist");
                problems.push(Problem { object: object_name(object), path, detail });
            }
        }
    }
    problems
}

// Key of the object: a 32-bit hash of its id, so two ids can collide. Routes have
// none.
fn truncated_key(name: &ObjectName) -> Option<u32> {
    match name.kind {
        ObjectKind::Endpoint => Some(endpoint_key(&name.id)),
        ObjectKind::Pool => Some(pool_key(&name.id)),
        ObjectKind::Team => Some(team_key(&name.id)),
        ObjectKind::Work => Some(work_key(&name.id)),
        ObjectKind::Route => None,
    }
}

// Objects that `object` refers to, each with the path of the referring field.
fn references(object: &ConfigObject) -> Vec<(String, ObjectName)> {
    match object {
        ConfigObject::Route(route) => {
            vec![("pool".to_owned(), ObjectName::new(ObjectKind::Pool, &route.pool))]
        }
        ConfigObject::Endpoint(endpoint) => {
            let work_reference = |(index, id): (usize, &String)| {
                (format!("repeatable[{index}]"), ObjectName::new(ObjectKind::Work, id))
            };
            endpoint.repeatable.iter().enumerate().map(work_reference).collect()
        }
        _ => Vec::new(),
    }
}

// Path of the invalid field and what is wrong with it.
type FieldError = (String, String);

fn field_error<T>(path: &str, detail: impl Into<String>) -> Result<T, FieldError> {
    Err((path.to_owned(), detail.into()))
}

fn check_endpoint(endpoint: &Endpoint) -> Result<(), FieldError> {
    check_id("id", &endpoint.id)?;
    if endpoint.address.parse::<SocketAddr>().is_err() {
        let detail = format!(
            "{:?} is not an IP address and port, expected for example 10.0.0.7:8000",
            endpoint.address
        );
        return field_error("address", detail);
    }
    check_id("region", &endpoint.region)?;
    check_id("zone", &endpoint.zone)?;
    check_labels(&endpoint.labels)?;
    if endpoint.slots == 0 {
        return field_error("slots", "0, expected at least 1");
    }
    check_weight(endpoint.weight)
}

fn check_pool(pool: &Pool) -> Result<(), FieldError> {
    check_id("id", &pool.id)?;
    check_selector("selector", &pool.selector)?;
    let multiple = pool.cap_multiple;
    if !(1.0..=100.0).contains(&multiple) {
        return field_error("cap_multiple", format!("{multiple}, expected 1 to 100"));
    }
    Ok(())
}

fn check_team(team: &Team) -> Result<(), FieldError> {
    check_id("id", &team.id)?;
    check_labels(&team.labels)?;
    check_weight(team.weight)
}

fn check_work(work: &Work) -> Result<(), FieldError> {
    check_id("id", &work.id)?;
    check_labels(&work.labels)?;
    if work.expected_tokens == 0 {
        return field_error("expected_tokens", "0, expected at least 1");
    }
    if work.deadline_ms == 0 {
        return field_error("deadline_ms", "0, expected at least 1");
    }
    Ok(())
}

fn check_route(route: &Route) -> Result<(), FieldError> {
    check_id("id", &route.id)?;
    check_selector("work", &route.work)?;
    check_selector("team", &route.team)?;
    match &route.service {
        Some(service) => check_id("service", service),
        None => Ok(()),
    }
}

fn check_id(path: &str, id: &str) -> Result<(), FieldError> {
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        return field_error(path, format!("{} bytes, expected 1 to {MAX_ID_BYTES}", id.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match id.chars().find(|c| !allowed(*c)) {
        Some(c) => {
            field_error(path, format!("{c:?} in {id:?}, expected a-z, A-Z, 0-9, `.`, `_`, `-`"))
        }
        None => Ok(()),
    }
}

fn check_labels(labels: &HashMap<String, String>) -> Result<(), FieldError> {
    if labels.len() > MAX_LABELS {
        return field_error("labels", format!("{} labels, limit {MAX_LABELS}", labels.len()));
    }
    let mut sorted: Vec<_> = labels.iter().collect();
    sorted.sort();
    for (key, value) in sorted {
        let path = format!("labels.{key}");
        if matches!(key.as_str(), "and" | "in" | "notin")
            || RESERVED_LABEL_PREFIXES.iter().any(|prefix| key.starts_with(prefix))
        {
            return field_error(&path, "the key is reserved");
        }
        for (part, text) in [("key", key), ("value", value)] {
            if text.is_empty() || text.len() > MAX_LABEL_BYTES {
                let detail =
                    format!("{part} of {} bytes, expected 1 to {MAX_LABEL_BYTES}", text.len());
                return field_error(&path, detail);
            }
            if let Some(c) = text.chars().find(|c| !is_word_char(*c)) {
                let detail = format!(
                    "{c:?} in the {part}, expected letters, digits, `_`, `-`, `.`, `/`, `:`"
                );
                return field_error(&path, detail);
            }
        }
    }
    Ok(())
}

fn check_selector(path: &str, text: &str) -> Result<(), FieldError> {
    match text.parse::<Selector>() {
        Ok(_) => Ok(()),
        Err(e) => field_error(path, format!("{e} in {text:?}")),
    }
}

// Rendezvous hashing and fair queues divide by weights, so 0 is not allowed.
fn check_weight(weight: f64) -> Result<(), FieldError> {
    if !(0.001..=1000.0).contains(&weight) {
        return field_error("weight", format!("{weight}, expected 0.001 to 1000"));
    }
    Ok(())
}
