use {
    super::{
        feed_health::FeedHealth,
        record_feed::{FeedError, LogChanges, LogListing, Offset, RawRecord, RecordFeed},
        record_sink::RecordSink,
    },
    crate::{
        clock::BootInstant,
        peers::{FeedKind, PeerState, RelayClient, RelayedFeedStatus},
        telemetry::{GatewayMetrics, event},
    },
    mango_wire::gossip::{RelayedChanges, RelayedRecord},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Longest time between two looks at whether the relay is still heard.
const RELAY_CHECK: Duration = Duration::from_millis(250);

/// Keeps a sink up to date with one log, from the relay of the zone while there is
/// one and from the store otherwise.
pub(crate) struct Follower<F, S> {
    feed: F,
    sink: S,
    kind: FeedKind,
    relay: RelayClient,
    peers: Rc<PeerState>,
    health: FeedHealth,
    /// Offset of the next record; None before the first listing.
    position: Option<Offset>,
    is_relayed: bool,
    /// A call to the relay failed; the store is read until then.
    relay_paused_until: Option<Instant>,
}

impl<F: RecordFeed, S: RecordSink> Follower<F, S> {
    pub(crate) fn new(
        feed: F,
        sink: S,
        peers: Rc<PeerState>,
        metrics: Rc<GatewayMetrics>,
    ) -> Follower<F, S> {
        let kind = S::KIND;
        Follower {
            feed,
            sink,
            kind,
            relay: RelayClient::new(kind),
            peers,
            health: FeedHealth::new(kind.into(), metrics),
            position: None,
            is_relayed: false,
            relay_paused_until: None,
        }
    }

    /// Follows the log for as long as the process runs.
    pub(crate) async fn run(mut self) {
        loop {
            match (self.usable_relay(), self.position) {
                (Some(relay), Some(position)) => self.follow_relay(relay, position).await,
                _ => self.follow_store().await,
            }
        }
    }

    fn usable_relay(&mut self) -> Option<RelayedFeedStatus> {
        let is_paused = self.relay_paused_until.is_some_and(|until| Instant::now() < until);
        let relay = self.peers.relayed_feed_status(self.kind).filter(|_| !is_paused);
        if self.is_relayed != relay.is_some() {
            self.is_relayed = relay.is_some();
            event!("source_changed", "feed={} relayed={}", self.kind, self.is_relayed);
        }
        relay
    }

    async fn follow_relay(&mut self, relay: RelayedFeedStatus, position: Offset) {
        if relay.last_change.is_some_and(|changed| changed >= position) {
            match self.relay.changes(relay.address, position).await {
                Ok(changes) => self.apply_relayed(changes, position),
                Err(error) => {
                    event!("relay_failed", "feed={} reason={:?}", self.kind, error.to_string());
                    self.relay_paused_until = Some(Instant::now() + RELAY_CHECK);
                    return;
                }
            }
        }
        let reached = self.position.unwrap_or(0);
        if let Some(at) = relay.confirmed_at.filter(|_| reached >= relay.position) {
            self.health.confirmed_by_relay(at);
            self.sink.confirmed(at);
            self.peers.published_feed(self.kind).borrow_mut().confirm(at);
        }
        if relay.last_change.is_none_or(|changed| changed < reached) && relay.position > reached {
            self.move_to(relay.position);
        }
        let due = self.sink.expire(Instant::now());
        let news = self.peers.status_received.notified();
        // no news only means that the relay is looked at again
        let _ = timeout(until_due(RELAY_CHECK, due), news).await;
    }

    fn apply_relayed(&mut self, changes: RelayedChanges, position: Offset) {
        let records: Vec<RawRecord> = changes
            .records
            .into_iter()
            .map(|RelayedRecord { offset, key, value }| RawRecord {
                offset,
                key: key.into(),
                value,
            })
            .collect();
        if changes.is_complete {
            self.replace_all(&records, changes.position);
        } else {
            records.iter().for_each(|record| self.apply(record));
        }
        self.move_to(changes.position.max(position));
    }

    async fn follow_store(&mut self) {
        let sent_at = BootInstant::now();
        let result = match self.position {
            None => self.feed.list_newest().await.map(News::All),
            Some(from) => {
                // after a failure the state is confirmed at once, not after a wait
                let wait =
                    if self.health.is_failing() { Duration::ZERO } else { self.sink.poll_wait() };
                self.feed.changes(from, wait).await.map(|changes| News::Since(changes, from, wait))
            }
        };
        match result {
            Ok(news) => {
                let at_end = self.take(news, sent_at);
                let due = self.sink.expire(Instant::now());
                if at_end && !S::POLL_PAUSE.is_zero() {
                    sleep(until_due(S::POLL_PAUSE, due)).await;
                }
            }
            Err(FeedError::Expired) => {
                event!("log_expired", "feed={} offset={:?}", self.kind, self.position);
                self.position = None;
            }
            Err(error) => {
                let pause = self.health.failed(&error);
                let due = self.sink.expire(Instant::now());
                sleep(until_due(pause, due)).await;
            }
        }
    }

    /// Applies what the store answered. Returns whether the end of the log is reached.
    fn take(&mut self, news: News, sent_at: BootInstant) -> bool {
        let away = self.health.succeeded();
        match news {
            News::All(LogListing { records, end }) => {
                if let Some(away) = away {
                    self.sink.store_returned(away, 0);
                }
                self.replace_all(&records, end);
                self.move_to(end);
                self.confirm(sent_at);
                // what changed while the pages were read comes next
                false
            }
            News::Since(LogChanges { end, .. }, from, _) if end < from => {
                event!("log_rewound", "feed={} offset={from} end={end}", self.kind);
                self.position = None;
                false
            }
            News::Since(LogChanges { records, next, end }, _, wait) => {
                if let Some(away) = away {
                    self.sink.store_returned(away, records.len());
                }
                for record in &records {
                    self.apply(record);
                }
                self.move_to(next);
                if next >= end {
                    self.confirm(confirmed_at(sent_at, wait, records.is_empty()));
                }
                next >= end
            }
        }
    }

    fn replace_all(&mut self, records: &[RawRecord], end: Offset) {
        self.sink.replace_all(records);
        self.peers.published_feed(self.kind).borrow_mut().replace_all(records, end);
    }

    fn apply(&mut self, record: &RawRecord) {
        if self.sink.apply(record) {
            self.peers.published_feed(self.kind).borrow_mut().add(record);
        }
    }

    fn move_to(&mut self, position: Offset) {
        self.position = Some(position);
        self.peers.published_feed(self.kind).borrow_mut().set_position(position);
    }

    fn confirm(&mut self, at: BootInstant) {
        self.sink.confirmed(at);
        self.peers.published_feed(self.kind).borrow_mut().confirm(at);
    }
}

enum News {
    All(LogListing),
    Since(LogChanges, Offset, Duration),
}

fn until_due(pause: Duration, due: Option<Instant>) -> Duration {
    due.map_or(pause, |due| pause.min(due.saturating_duration_since(Instant::now())))
}

/// The time up to which an answer says that there is nothing newer. An empty answer
/// that took the whole wait was made after it; any other after the call was sent.
fn confirmed_at(sent_at: BootInstant, wait: Duration, is_empty: bool) -> BootInstant {
    let took = BootInstant::now().saturating_duration_since(sent_at);
    if is_empty && took >= wait { sent_at + wait } else { sent_at }
}
