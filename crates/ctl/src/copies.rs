//! Compares the copies of the store's logs that hosts of the users' platform have.

use {
    crate::{client::Client, failure::Failure, output},
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::collections::BTreeMap,
};

/// The part of a host's state that tells what its copies say.
#[derive(Debug, Deserialize)]
struct HostState {
    host: HostName,
    feeds: BTreeMap<String, FeedState>,
}

#[derive(Debug, Deserialize)]
struct HostName {
    host: String,
    zone: String,
}

#[derive(Debug, Deserialize)]
struct FeedState {
    status: FeedStatus,
}

#[derive(Debug, Deserialize)]
struct FeedStatus {
    position: u64,
    digest: u64,
    confirmed_age_ms: Option<u64>,
}

/// A host's copy of a log, beside those of the others.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub(crate) struct CopyRow {
    pub(crate) feed: String,
    pub(crate) position: u64,
    pub(crate) digest: String,
    pub(crate) host: String,
    pub(crate) zone: String,
    pub(crate) confirmed_age_ms: Option<u64>,
    /// Whether more hosts say something else of the same records.
    pub(crate) differs: bool,
}

/// Reads the states of hosts. Fails if one cannot be read.
pub(crate) fn read_copies(hosts: &[String]) -> Result<Vec<CopyRow>, Failure> {
    let states = hosts.iter().map(|url| Client::new(url, "")?.state());
    compare(states.collect::<Result<_, _>>()?)
}

/// Marks the copies that say something else than most others at the same position.
fn compare(states: Vec<Value>) -> Result<Vec<CopyRow>, Failure> {
    let mut rows = Vec::new();
    for state in states {
        let state: HostState = serde_json::from_value(state)
            .map_err(|e| Failure::Refused(format!("not the state of a host: {e}")))?;
        for (feed, FeedState { status }) in state.feeds {
            rows.push(CopyRow {
                feed,
                position: status.position,
                digest: format!("{:016x}", status.digest),
                host: state.host.host.clone(),
                zone: state.host.zone.clone(),
                confirmed_age_ms: status.confirmed_age_ms,
                differs: false,
            });
        }
    }
    let mut hosts: BTreeMap<(String, u64), BTreeMap<String, usize>> = BTreeMap::new();
    for row in &rows {
        let digests = hosts.entry((row.feed.clone(), row.position)).or_default();
        *digests.entry(row.digest.clone()).or_default() += 1;
    }
    for row in &mut rows {
        let digests = &hosts[&(row.feed.clone(), row.position)];
        let own = digests[&row.digest];
        // with equal numbers, nobody can tell which of them is right
        row.differs = digests.iter().any(|(digest, hosts)| *digest != row.digest && *hosts >= own);
    }
    rows.sort_by(|a, b| (&a.feed, a.position, &a.host).cmp(&(&b.feed, b.position, &b.host)));
    Ok(rows)
}

pub(crate) fn table(rows: &[CopyRow]) -> String {
    let header = ["FEED", "POSITION", "DIGEST", "HOST", "ZONE", "CONFIRMED_MS", ""];
    let row = |row: &CopyRow| {
        vec![
            row.feed.clone(),
            row.position.to_string(),
            row.digest.clone(),
            row.host.clone(),
            row.zone.clone(),
            row.confirmed_age_ms.map_or("-".to_owned(), |age| age.to_string()),
            if row.differs { "differs" } else { "" }.to_owned(),
        ]
    };
    output::table(&header, rows.iter().map(row).collect())
}
