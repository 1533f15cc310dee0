use {
    super::{
        feed_health::FeedHealth,
        record_feed::{Changes, FeedError, Offset, Record, RecordFeed},
    },
    crate::{
        clock::BootInstant,
        config::{ConfigState, RoutingConfig},
        telemetry::{GatewayMetrics, event},
    },
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How long the store holds a read without news. Each empty answer confirms the
/// configuration, so this stays well under the time in which revoked keys must go.
const POLL_WAIT: Duration = Duration::from_millis(1_700);

/// Follows the configuration in the store for as long as the process runs.
pub(crate) async fn follow_config<F>(
    mut feed: F,
    state: Rc<ConfigState>,
    metrics: Rc<GatewayMetrics>,
) where
    F: RecordFeed<Value = Rc<RoutingConfig>>,
{
    let mut health = FeedHealth::new("config", metrics.clone());
    let mut position: Option<Offset> = None;
    loop {
        let sent_at = BootInstant::now();
        let result = match position {
            None => read_newest(&mut feed, &state, sent_at).await,
            Some(from) => {
                // after a failure the state is confirmed at once, not after a wait
                let wait = if health.is_failing() { Duration::ZERO } else { POLL_WAIT };
                read_changes(&mut feed, &state, from, wait, sent_at).await
            }
        };
        match result {
            Ok(next) => {
                health.succeeded();
                position = next;
            }
            Err(FeedError::Expired) => {
                event!("config_log_expired", "offset={position:?}");
                position = None;
            }
            Err(error) => sleep(health.failed(&error)).await,
        }
        metrics.config_version.set(state.version() as i64);
    }
}

async fn read_newest<F>(
    feed: &mut F,
    state: &ConfigState,
    sent_at: BootInstant,
) -> Result<Option<Offset>, FeedError>
where
    F: RecordFeed<Value = Rc<RoutingConfig>>,
{
    let newest = feed.newest().await?;
    if apply(newest.records, state) {
        state.confirm(sent_at);
    }
    Ok(Some(newest.end))
}

async fn read_changes<F>(
    feed: &mut F,
    state: &ConfigState,
    from: Offset,
    wait: Duration,
    sent_at: BootInstant,
) -> Result<Option<Offset>, FeedError>
where
    F: RecordFeed<Value = Rc<RoutingConfig>>,
{
    let Changes { records, next, end } = feed.changes(from, wait).await?;
    if end < from {
        event!("config_log_rewound", "offset={from} end={end}");
        return Ok(None);
    }
    let is_empty = records.is_empty();
    let is_readable = apply(records, state);
    if next >= end && is_readable {
        state.confirm(confirmed_at(sent_at, wait, is_empty));
    }
    Ok(Some(next))
}

/// The time up to which an answer says that there is nothing newer. An empty answer
/// that took the whole wait was made after it; any other after the call was sent.
fn confirmed_at(sent_at: BootInstant, wait: Duration, is_empty: bool) -> BootInstant {
    let took = BootInstant::now().saturating_duration_since(sent_at);
    if is_empty && took >= wait { sent_at + wait } else { sent_at }
}

/// Returns whether the newest record could be read.
fn apply(records: Vec<Record<Rc<RoutingConfig>>>, state: &ConfigState) -> bool {
    let mut is_readable = true;
    for record in records {
        match record {
            Record::Value { value, .. } => {
                is_readable = true;
                take(value, state);
            }
            Record::Removed { key } => event!("config_record_removed", "key={key:?}"),
            Record::Unreadable { key, reason } => {
                is_readable = false;
                event!("config_record_unreadable", "key={key:?} reason={reason:?}");
            }
        }
    }
    is_readable && state.current().is_some()
}

fn take(config: Rc<RoutingConfig>, state: &ConfigState) {
    let (version, routes, known) = (config.version, config.route_count(), state.version());
    if state.offer(config) {
        event!("config_applied", "version={version} routes={routes} previous={known}");
    } else if version < known {
        event!("config_ignored", "version={version} in_force={known}");
    }
}
