use {
    crate::failure::Failure,
    comfy_table::{Table, presets},
    mango_config::{Explanation, HistoryEntry, HistoryOutcome, TermExplanation, object_name},
    mango_wire::config::{ConfigObject, ObjectKey, VersionedObject},
    serde::Serialize,
    serde_json::Value,
    std::collections::BTreeMap,
};

pub(crate) fn json<T: Serialize>(value: &T) -> Result<String, Failure> {
    // serialize by way of a `Value`, because its fields can be sorted
    let mut value = serde_json::to_value(value).map_err(|e| Failure::Usage(e.to_string()))?;
    value.sort_all_objects();
    Ok(format!("{value:#}\n"))
}

pub(crate) fn table(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header.to_vec());
    table.add_rows(rows);
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    let lines = table.to_string();
    lines.lines().map(|line| format!("{}\n", line.trim_end())).collect()
}

pub(crate) fn objects(objects: &[VersionedObject]) -> String {
    let row = |entry: &VersionedObject| {
        let name = object_name(&entry.object);
        vec![name.kind.to_string(), name.id, entry.version.to_string(), summary(&entry.object)]
    };
    table(&["KIND", "ID", "VERSION", "DETAILS"], objects.iter().map(row).collect())
}

fn summary(object: &ConfigObject) -> String {
    match object {
        ConfigObject::Endpoint(endpoint) => format!(
            "{} {} {}/{} slots={} {}",
            endpoint.kind,
            endpoint.address,
            endpoint.region,
            endpoint.zone,
            endpoint.slots,
            labels(&endpoint.labels)
        ),
        ConfigObject::Pool(pool) => format!("[{}] cap={}", pool.selector, pool.cap_multiple),
        ConfigObject::Team(team) => format!(
            "weight={} max_in_flight={} {}",
            team.weight,
            team.max_in_flight,
            labels(&team.labels)
        ),
        ConfigObject::Work(work) => format!(
            "{} {} tokens={} deadline_ms={} {}",
            if work.idempotent { "idempotent" } else { "at-most-once" },
            work.class,
            work.expected_tokens,
            work.deadline_ms,
            labels(&work.labels)
        ),
        ConfigObject::Route(route) => {
            let service = route.service.as_ref();
            let service = service.map(|service| format!(" service={service}")).unwrap_or_default();
            format!("work [{}] team [{}] -> {}{service}", route.work, route.team, route.pool)
        }
    }
}

fn labels(labels: &std::collections::HashMap<String, String>) -> String {
    let sorted: BTreeMap<_, _> = labels.iter().collect();
    let texts: Vec<_> = sorted.iter().map(|(key, value)| format!("{key}={value}")).collect();
    format!("{{{}}}", texts.join(","))
}

pub(crate) fn history(entries: &[HistoryEntry]) -> String {
    let row = |entry: &HistoryEntry| {
        let outcome = match &entry.outcome {
            HistoryOutcome::Accepted => "accepted".to_owned(),
            HistoryOutcome::Rejected(rejection) => format!("rejected: {rejection}"),
        };
        let mut changed: Vec<_> = entry.put.iter().map(|key| key_text("", key)).collect();
        changed.extend(entry.delete.iter().map(|key| key_text("-", key)));
        let changed = match changed.len() {
            0..=3 => changed.join(" "),
            count => format!("{} and {} more", changed[0], count - 1),
        };
        let (offset, based_on) = (entry.offset.to_string(), entry.based_on.to_string());
        vec![offset, based_on, entry.author.clone(), changed, outcome]
    };
    table(
        &["VERSION", "BASED ON", "AUTHOR", "OBJECTS", "OUTCOME"],
        entries.iter().map(row).collect(),
    )
}

fn key_text(prefix: &str, key: &ObjectKey) -> String {
    format!("{prefix}{}/{}", key.kind, key.id)
}

pub(crate) fn explanation(explanation: &Explanation) -> String {
    let mut text = format!(
        "team {}, work {}, {}, version {}\n",
        explanation.team,
        explanation.work,
        match &explanation.service {
            Some(service) => format!("service {service}"),
            None => "model work".to_owned(),
        },
        explanation.version
    );
    if let Some(unknown) = &explanation.unknown {
        text.push_str(&format!("{}/{} does not exist\n", unknown.kind, unknown.id));
        return text;
    }
    let pools = match explanation.pools.as_slice() {
        [] => "none".to_owned(),
        pools => pools.join(", "),
    };
    text.push_str(&format!("pools: {pools}\n\n"));
    let routes = explanation.routes.iter().map(|route| {
        let admits = if route.admits { "yes" } else { "no" };
        let deciding_terms = match route.terms.last() {
            Some(term) if !route.admits => term_text(term),
            _ => route.terms.iter().map(term_text).collect::<Vec<_>>().join("; "),
        };
        vec![route.route.clone(), route.pool.clone(), admits.to_owned(), deciding_terms]
    });
    text.push_str(&table(&["ROUTE", "POOL", "ADMITS", "BECAUSE"], routes.collect()));
    let mut rows = Vec::new();
    for pool in &explanation.pool_members {
        for (endpoints, is_member) in [(&pool.endpoints, "yes"), (&pool.outside, "no")] {
            for endpoint in endpoints {
                let terms: Vec<_> = endpoint.terms.iter().map(term_text).collect();
                rows.push(vec![
                    pool.pool.clone(),
                    endpoint.endpoint.clone(),
                    is_member.to_owned(),
                    terms.join("; "),
                ]);
            }
        }
        if pool.outside_omitted > 0 {
            let omitted = format!("({} more)", pool.outside_omitted);
            rows.push(vec![pool.pool.clone(), omitted, "no".to_owned(), String::new()]);
        }
    }
    text.push('\n');
    text.push_str(&table(&["POOL", "ENDPOINT", "MEMBER", "BECAUSE"], rows));
    text.push('\n');
    let steps = explanation.placement.iter().map(|step| {
        let chosen = if step.chosen { "yes" } else { "no" };
        vec![
            step.endpoint.clone(),
            step.mode.clone(),
            step.owner.clone().unwrap_or_default(),
            chosen.to_owned(),
            step.because.clone(),
        ]
    });
    text.push_str(&table(&["ASKED", "MODE", "OWNER", "CHOSEN", "BECAUSE"], steps.collect()));
    text
}

fn term_text(term: &TermExplanation) -> String {
    let found = match &term.found {
        Some(value) => format!("found {value}"),
        None => "absent".to_owned(),
    };
    format!("{} {} ({found})", term.field, term.term)
}

/// Table of all values in a JSON document, each with its dotted path.
pub(crate) fn flattened(value: &Value) -> String {
    let mut rows = Vec::new();
    flatten("", value, &mut rows);
    table(&["NAME", "VALUE"], rows)
}

fn flatten(path: &str, value: &Value, rows: &mut Vec<Vec<String>>) {
    let join =
        |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(&join(name), value, rows);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                flatten(&join(&index.to_string()), item, rows);
            }
        }
        Value::String(text) => rows.push(vec![path.to_owned(), text.clone()]),
        other => rows.push(vec![path.to_owned(), other.to_string()]),
    }
}
