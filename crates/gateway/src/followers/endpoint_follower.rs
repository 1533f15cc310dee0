use {
    super::{
        feed_health::FeedHealth,
        record_feed::{FeedError, Offset, Record, RecordFeed},
    },
    crate::{
        endpoints::{Directory, EndpointRecord},
        telemetry::{GatewayMetrics, event},
    },
    rand::RngExt,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Pause between two reads of the endpoints' records. Endpoints write several times
/// a second together, so waiting reads would return at once.
const READ_PAUSE: Duration = Duration::from_millis(950);
/// An absence of the store shorter than this makes no record lapse, in heartbeats.
const LAPSE_HEARTBEATS: u32 = 2;
/// How long lapsed records may take to come back after the store's return.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Follows the endpoints' records for as long as the process runs.
pub(crate) async fn follow_endpoints<F>(
    mut feed: F,
    directory: Rc<Directory>,
    heartbeat: Duration,
    metrics: Rc<GatewayMetrics>,
) where
    F: RecordFeed<Value = EndpointRecord>,
{
    let mut health = FeedHealth::new("endpoints", metrics.clone());
    let mut position: Option<Offset> = None;
    let mut keep_until: Option<Instant> = None;
    loop {
        let result = read(&mut feed, position).await;
        match result {
            Ok(news) => {
                let away = health.succeeded().unwrap_or_default();
                if position.is_some() && away >= heartbeat * LAPSE_HEARTBEATS {
                    keep_until = Some(Instant::now() + RETURN_TIME);
                }
                let keep = keep_until.filter(|until| Instant::now() < *until);
                position = news.apply(&directory, keep);
                directory.expire(Instant::now());
                metrics.endpoints.set(directory.len() as i64);
                if position.is_some() {
                    sleep(READ_PAUSE.mul_f64(rand::rng().random_range(0.9..1.1))).await;
                }
            }
            Err(FeedError::Expired) => {
                event!("endpoint_log_expired", "offset={position:?}");
                position = None;
            }
            Err(error) => {
                let pause = health.failed(&error);
                directory.expire(Instant::now());
                sleep(pause).await;
            }
        }
    }
}

enum News {
    All { records: Vec<Record<EndpointRecord>>, end: Offset },
    Changes { records: Vec<Record<EndpointRecord>>, next: Offset },
    Rewound,
}

async fn read<F>(feed: &mut F, position: Option<Offset>) -> Result<News, FeedError>
where
    F: RecordFeed<Value = EndpointRecord>,
{
    let Some(from) = position else {
        let newest = feed.newest().await?;
        return Ok(News::All { records: newest.records, end: newest.end });
    };
    let changes = feed.changes(from, Duration::ZERO).await?;
    if changes.end < from {
        event!("endpoint_log_rewound", "offset={from} end={}", changes.end);
        return Ok(News::Rewound);
    }
    Ok(News::Changes { records: changes.records, next: changes.next })
}

impl News {
    /// Returns the offset to read from next; none to read everything again.
    fn apply(self, directory: &Directory, keep_until: Option<Instant>) -> Option<Offset> {
        match self {
            News::All { records, end } => {
                let values = records.into_iter().filter_map(readable).collect();
                directory.replace_all(values, keep_until);
                Some(end)
            }
            News::Changes { records, next } => {
                for record in records {
                    match record {
                        Record::Removed { key } => directory.remove(&key, keep_until),
                        record => {
                            if let Some(record) = readable(record) {
                                directory.upsert(record);
                            }
                        }
                    }
                }
                Some(next)
            }
            News::Rewound => None,
        }
    }
}

fn readable(record: Record<EndpointRecord>) -> Option<EndpointRecord> {
    match record {
        Record::Value { value, .. } => Some(value),
        Record::Removed { .. } => None,
        Record::Unreadable { key, reason } => {
            event!("endpoint_record_unreadable", "key={key:?} reason={reason:?}");
            None
        }
    }
}
