use {
    crate::{
        args::{Args, ChangeArgs, Command, Output},
        client::Client,
        copies::{read_copies, table},
        failure::Failure,
        output,
        trace::{TraceQuery, trace},
    },
    clap::Parser,
    mango_config::{
        ChangeReply, ConfigFile, check_object, check_objects, object_name, read_objects,
    },
    mango_wire::config::{Change, ConfigObject, ObjectKey, ObjectKind},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        env,
        ffi::OsString,
        fs,
        io::Write,
        path::Path,
        time::{SystemTime, UNIX_EPOCH},
    },
    uuid::Uuid,
};

const DEFAULT_ROUTER: &str = "http://127.0.0.1:8081";

/// Runs one command line. Writes results to `out` and errors to `err`.
/// Returns the exit code: 0 done, 1 refused, 2 usage, 3 unreachable or not confirmed.
pub fn run<I, T>(args: I, out: &mut dyn Write, err: &mut dyn Write) -> u8
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let args = match Args::try_parse_from(args) {
        Ok(args) => args,
        Err(e) => {
            let code = if e.use_stderr() { 2 } else { 0 };
            let _ = match code {
                0 => write!(out, "{e}"),
                _ => write!(err, "{e}"),
            };
            return code;
        }
    };
    match execute(&args) {
        Ok(CommandOutput { text, failure: None }) => {
            let _ = out.write_all(text.as_bytes());
            0
        }
        Ok(CommandOutput { text, failure: Some(failure) }) => {
            let _ = out.write_all(text.as_bytes());
            let _ = writeln!(err, "mangoctl: {failure}");
            failure.exit_code()
        }
        Err(failure) => {
            let _ = writeln!(err, "mangoctl: {failure}");
            failure.exit_code()
        }
    }
}

/// Output of a command, and a failure that is reported after it.
struct CommandOutput {
    text: String,
    failure: Option<Failure>,
}

impl From<String> for CommandOutput {
    fn from(text: String) -> Self {
        Self { text, failure: None }
    }
}

fn execute(args: &Args) -> Result<CommandOutput, Failure> {
    let output = args.output;
    if let Command::Check { file } = &args.command {
        return check(file, output).map(CommandOutput::from);
    }
    if let Command::Trace { request, endpoint, from_ms, to_ms, log } = &args.command {
        let query = TraceQuery {
            request: request.clone(),
            endpoint: endpoint.clone(),
            from_ms: *from_ms,
            to_ms: *to_ms,
        };
        return trace(log, &query).map(CommandOutput::from);
    }
    if let Command::Copies { hosts } = &args.command {
        return copies(hosts, output);
    }
    let client = connect(args)?;
    match &args.command {
        Command::Check { .. } | Command::Trace { .. } | Command::Copies { .. } => {
            Ok(String::new().into())
        }
        Command::Apply { file, change } => apply(&client, file, change, output),
        Command::Get { kind, id } => {
            get(&client, *kind, id.as_deref(), output).map(CommandOutput::from)
        }
        Command::Delete { kind, id, change } => delete(&client, *kind, id, change, output),
        Command::Label { kind, id, labels, change } => {
            label(&client, (*kind, id), labels, change, output)
        }
        Command::Explain { host_name: Some(host_name), path: Some(path), prefix, .. } => {
            format_value(&client.explain_request(host_name, path, prefix.as_deref())?, output)
                .map(CommandOutput::from)
        }
        Command::Explain { team, work, service, chat, .. } => {
            // clap requires both arguments if --host-name is not given
            let (team, work) = (team.as_deref().unwrap_or(""), work.as_deref().unwrap_or(""));
            let explanation = client.explain(team, work, service.as_deref(), chat.as_deref())?;
            let text = match output {
                Output::Json => output::json(&explanation)?,
                Output::Table => output::explanation(&explanation),
            };
            let failure = explanation
                .unknown
                .map(|key| Failure::Refused(format!("{}/{} does not exist", key.kind, key.id)));
            Ok(CommandOutput { text, failure })
        }
        Command::State => format_value(&client.state()?, output).map(CommandOutput::from),
        Command::Drain => format_value(&client.drain()?, output).map(CommandOutput::from),
        Command::History { limit } => {
            let listing = client.history(*limit)?;
            let text = match output {
                Output::Json => output::json(&listing)?,
                Output::Table => output::history(&listing.changes),
            };
            Ok(text.into())
        }
    }
}

/// Compares the copies of hosts.
fn copies(hosts: &[String], output: Output) -> Result<CommandOutput, Failure> {
    let rows = read_copies(hosts)?;
    let text = match output {
        Output::Json => output::json(&rows)?,
        Output::Table => table(&rows),
    };
    let differing = rows.iter().filter(|row| row.differs).count();
    let failure = (differing > 0).then(|| {
        Failure::Refused(format!("copies that differ from those of other hosts: {differing}"))
    });
    Ok(CommandOutput { text, failure })
}

fn connect(args: &Args) -> Result<Client, Failure> {
    let router = args.router.clone().or_else(|| env::var("MANGOCTL_ROUTER").ok());
    let token = match &args.token_file {
        Some(path) => fs::read_to_string(path)
            .map_err(|e| Failure::Usage(format!("token file {}: {e}", path.display())))?,
        None => match env::var("MANGOCTL_TOKEN") {
            Ok(token) => token,
            // routers on the users' platform require no token
            Err(_) if args.command.is_supported_on_platform() => String::new(),
            Err(_) => {
                let text = "no token, expected --token-file or MANGOCTL_TOKEN";
                return Err(Failure::Usage(text.to_owned()));
            }
        },
    };
    Client::new(router.as_deref().unwrap_or(DEFAULT_ROUTER), token.trim())
}

fn format_value(value: &serde_json::Value, output: Output) -> Result<String, Failure> {
    match output {
        Output::Json => output::json(value),
        Output::Table => Ok(output::flattened(value)),
    }
}

fn read_config(path: &Path) -> Result<ConfigFile, Failure> {
    read_objects(path).map_err(|e| Failure::Refused(format!("{e:#}")))
}

fn check(path: &Path, output: Output) -> Result<String, Failure> {
    let file = read_config(path)?;
    let problems = check_objects(&file.objects);
    if !problems.is_empty() {
        let lines: Vec<_> = problems.iter().map(|problem| format!("  {problem}")).collect();
        let count = problems.len();
        return Err(Failure::Refused(format!("{count} problems\n{}", lines.join("\n"))));
    }
    let mut counts: BTreeMap<ObjectKind, usize> = BTreeMap::new();
    for object in &file.objects {
        *counts.entry(object_name(object).kind).or_default() += 1;
    }
    match output {
        Output::Json => {
            let counts: BTreeMap<_, _> =
                counts.iter().map(|(kind, count)| (kind.to_string(), *count)).collect();
            output::json(&counts)
        }
        Output::Table => {
            let rows = counts.iter().map(|(kind, count)| vec![kind.to_string(), count.to_string()]);
            Ok(output::table(&["KIND", "OBJECTS"], rows.collect()))
        }
    }
}

fn get(
    client: &Client,
    kind: Option<ObjectKind>,
    id: Option<&str>,
    output: Output,
) -> Result<String, Failure> {
    let listing = client.listing(kind, id)?;
    match output {
        Output::Json => output::json(&listing),
        Output::Table => Ok(output::objects(&listing.objects)),
    }
}

fn apply(
    client: &Client,
    path: &Path,
    change: &ChangeArgs,
    output: Output,
) -> Result<CommandOutput, Failure> {
    let file = read_config(path)?;
    let mut names = BTreeSet::new();
    for object in &file.objects {
        check_object(object).map_err(|problem| Failure::Refused(problem.to_string()))?;
        let name = object_name(object);
        if !names.insert(name.clone()) {
            return Err(Failure::Refused(format!("{name}: occurs twice")));
        }
    }
    let current = client.listing(None, None)?;
    let current_objects: HashMap<_, _> =
        current.objects.iter().map(|entry| (object_name(&entry.object), &entry.object)).collect();
    let put: Vec<_> = file
        .objects
        .into_iter()
        .filter(|object| {
            current_objects.get(&object_name(object)).is_none_or(|current| differ(current, object))
        })
        .collect();
    if put.is_empty() {
        return unchanged_output(current.version, output);
    }
    publish(client, file.version.unwrap_or(current.version), put, Vec::new(), change, output)
}

fn differ(a: &ConfigObject, b: &ConfigObject) -> bool {
    match (serde_json::to_value(a), serde_json::to_value(b)) {
        (Ok(a), Ok(b)) => a != b,
        _ => true,
    }
}

fn delete(
    client: &Client,
    kind: ObjectKind,
    id: &str,
    change: &ChangeArgs,
    output: Output,
) -> Result<CommandOutput, Failure> {
    let listing = client.listing(Some(kind), Some(id))?;
    let key = ObjectKey { kind, id: id.to_owned() };
    publish(client, listing.version, Vec::new(), vec![key], change, output)
}

fn label(
    client: &Client,
    (kind, id): (ObjectKind, &str),
    edits: &[String],
    change: &ChangeArgs,
    output: Output,
) -> Result<CommandOutput, Failure> {
    if matches!(kind, ObjectKind::Pool | ObjectKind::Route) {
        return Err(Failure::Usage(format!("a {kind} has no labels")));
    }
    let edits = edits.iter().map(|edit| parse_label_edit(edit)).collect::<Result<Vec<_>, _>>()?;
    let listing = client.listing(Some(kind), Some(id))?;
    let Some(entry) = listing.objects.into_iter().next() else {
        return Err(Failure::Refused(format!("{kind}/{id} does not exist")));
    };
    let mut object = entry.object.clone();
    let labels = match &mut object {
        ConfigObject::Endpoint(endpoint) => &mut endpoint.labels,
        ConfigObject::Team(team) => &mut team.labels,
        ConfigObject::Work(work) => &mut work.labels,
        ConfigObject::Pool(_) | ConfigObject::Route(_) => {
            return Err(Failure::Refused(format!("{kind}/{id} has no labels")));
        }
    };
    for (key, value) in edits {
        match value {
            Some(value) => labels.insert(key.to_owned(), value.to_owned()),
            None => labels.remove(key),
        };
    }
    check_object(&object).map_err(|problem| Failure::Refused(problem.to_string()))?;
    if !differ(&entry.object, &object) {
        return unchanged_output(listing.version, output);
    }
    publish(client, listing.version, vec![object], Vec::new(), change, output)
}

fn parse_label_edit(edit: &str) -> Result<(&str, Option<&str>), Failure> {
    match (edit.split_once('='), edit.strip_suffix('-')) {
        (Some((key, value)), _) if !key.is_empty() && !value.is_empty() => Ok((key, Some(value))),
        (None, Some(key)) if !key.is_empty() => Ok((key, None)),
        _ => Err(Failure::Usage(format!("label {edit:?}, expected key=value or key-"))),
    }
}

fn unchanged_output(version: u64, output: Output) -> Result<CommandOutput, Failure> {
    match output {
        Output::Json => Ok(output::json(&serde_json::json!({ "unchanged": version }))?.into()),
        Output::Table => Ok(format!("unchanged, version {version}\n").into()),
    }
}

fn publish(
    client: &Client,
    based_on: u64,
    put: Vec<ConfigObject>,
    delete: Vec<ObjectKey>,
    args: &ChangeArgs,
    output: Output,
) -> Result<CommandOutput, Failure> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let count = put.len() + delete.len();
    let change = Change {
        author: author(args),
        based_on,
        change_id: Uuid::now_v7().to_string(),
        delete,
        made_at_ms: now.as_millis() as u64,
        put,
    };
    let reply = client.change(&change, args.wait.then_some(args.wait_ms))?;
    let text = match output {
        Output::Json => output::json(&reply)?,
        Output::Table => {
            format!("accepted, version {}, {count} objects changed\n", reply.version)
        }
    };
    Ok(CommandOutput { text, failure: unconfirmed_failure(&reply) })
}

fn unconfirmed_failure(reply: &ChangeReply) -> Option<Failure> {
    let pending = reply.members_pending.as_ref().filter(|pending| !pending.is_empty())?;
    let members: Vec<_> = pending
        .iter()
        .map(|member| match member.version {
            Some(version) => format!("{} (version {version})", member.host_id),
            None => format!("{} (no answer)", member.host_id),
        })
        .collect();
    let detail = format!(
        "version {} is accepted, but not confirmed by {}",
        reply.version,
        members.join(", ")
    );
    Some(Failure::Unreachable(detail))
}

fn author(args: &ChangeArgs) -> String {
    let user = || env::var("USER").ok().filter(|user| !user.is_empty());
    args.author.clone().or_else(user).unwrap_or_else(|| "unknown".to_owned())
}
