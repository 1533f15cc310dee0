use {
    super::{feed_health::FeedHealth, log_copy::LogCopy, record_sink::RecordSink},
    crate::{
        clock::{BootInstant, Now},
        peers::{PeerState, RelayClient, RelayedFeedStatus},
        records::{FeedError, FeedKind, LogChanges, LogListing, Offset, RecordFeed},
        telemetry::{GatewayMetrics, event},
    },
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout, timeout_at},
};

/// Longest time between two checks of the relay, and the pause after a failed read from it.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two checks whether it is this host's turn to read the store.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// By how much each host whose turn comes before that of this one extends the pause after a failed
/// call: all hosts of a zone together try as often as a few of them.
const TURN_BACKOFF: Duration = Duration::from_millis(100);
/// Most hosts that extend the pause.
const MAX_TURN_BACKOFFS: u32 = 30;

/// Keeps a sink up to date with one log. Reads from the relay of the zone while it is usable,
/// and from the store otherwise.
pub(crate) struct Follower<F, S> {
    feed: F,
    copy: LogCopy<S>,
    kind: FeedKind,
    relay_client: RelayClient,
    peers: Rc<PeerState>,
    health: FeedHealth,
    reads_from_relay: bool,
    /// Since when the host has had no usable relay.
    without_relay_since: Instant,
    /// After a failed read from the relay, the store is read until this time.
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
            copy: LogCopy::new(sink, peers.clone()),
            kind,
            relay_client: RelayClient::new(kind),
            peers,
            health: FeedHealth::new(kind.into(), metrics),
            reads_from_relay: false,
            without_relay_since: Instant::now(),
            relay_paused_until: None,
        }
    }

    /// Follows the log for as long as the process runs.
    pub(crate) async fn run(mut self) {
        loop {
            match self.usable_relay() {
                Some(relay) => self.follow_relay(relay).await,
                None if self.may_read_store() => self.follow_store().await,
                None => self.wait_for_turn().await,
            }
        }
    }

    /// Whether the log is to be read from the store, since the relay failed or it is this host's
    /// turn.
    fn may_read_store(&self) -> bool {
        let has_relay_failed = self.relay_paused_until.is_some_and(|until| Instant::now() < until);
        has_relay_failed || self.peers.may_read_store(self.kind, self.without_relay_since.elapsed())
    }

    async fn wait_for_turn(&mut self) {
        let due = self.copy.sink.expire(Instant::now());
        let new_status = self.peers.status_received.notified();
        // after the time-out, the turn is checked again
        let _ = timeout(limit_pause(TURN_CHECK_INTERVAL, due), new_status).await;
    }

    /// The relay's state of the log; `None` if there is no relay or the last read from it failed a
    /// moment ago.
    fn relay_status(&self) -> Option<RelayedFeedStatus> {
        let is_paused = self.relay_paused_until.is_some_and(|until| Instant::now() < until);
        let status = self.peers.relayed_feed_status(self.kind).filter(|_| !is_paused);
        status.filter(|status| self.copy.accepts_era(status.era))
    }

    /// Returns the relay's state of the log if the log is to be read from the relay now.
    fn usable_relay(&mut self) -> Option<RelayedFeedStatus> {
        let relay = self.relay_status();
        if self.reads_from_relay != relay.is_some() {
            self.reads_from_relay = relay.is_some();
            self.without_relay_since = Instant::now();
            event!("source_changed", "feed={} relayed={}", self.kind, self.reads_from_relay);
        }
        relay
    }

    /// Reads the changes since the own position from the relay, if there are any, or all records if
    /// the host has none. Then waits for the relay's next status.
    async fn follow_relay(&mut self, relay: RelayedFeedStatus) {
        self.copy.record_outage(&relay, self.health.has_failed(), Now::read());
        if let Some(from) = self.copy.missing_from(&relay) {
            match self.relay_client.changes(relay.address, from).await {
                Ok(changes) => self.copy.apply_relayed(changes, from, Now::read()),
                Err(error) => {
                    event!("relay_failed", "feed={} reason={:?}", self.kind, error.to_string());
                    self.relay_paused_until = Some(Instant::now() + RELAY_CHECK_INTERVAL);
                    return;
                }
            }
        }
        if self.copy.follow_status(&relay, Now::read()) {
            self.health.record_relay_confirmation();
        }
        let due = self.copy.sink.expire(Instant::now());
        let new_status = self.peers.status_received.notified();
        // after the time-out, the relay is checked again without a new status
        let _ = timeout(limit_pause(RELAY_CHECK_INTERVAL, due), new_status).await;
    }

    /// Reads the log from the store once, and pauses at its end or after a failure.
    async fn follow_store(&mut self) {
        let sent_at = BootInstant::now();
        let result = match self.copy.position() {
            None => self.feed.list_newest().await.map(StoreAnswer::Listing),
            Some(from) => {
                // after a failure, a read without a wait confirms the state at once
                let wait = if self.health.is_failing() {
                    Duration::ZERO
                } else {
                    self.copy.sink.poll_wait()
                };
                self.feed
                    .changes(from, wait)
                    .await
                    .map(|changes| StoreAnswer::Changes(changes, from, wait))
            }
        };
        match result.and_then(|answer| self.check_era(answer)) {
            Ok(answer) => {
                let at_end = self.apply_answer(answer, sent_at);
                let due = self.copy.sink.expire(Instant::now());
                if at_end && !self.copy.sink.poll_pause().is_zero() {
                    sleep(limit_pause(self.copy.sink.poll_pause(), due)).await;
                }
            }
            Err(FeedError::Expired) => {
                event!("log_expired", "feed={} offset={:?}", self.kind, self.copy.position());
                self.copy.reset_position();
            }
            Err(error) => {
                let hosts_before = self.peers.hosts_before_own_turn().min(MAX_TURN_BACKOFFS);
                let backoff = self.health.record_failure(&error) + TURN_BACKOFF * hosts_before;
                // the hosts before may not run, and then no relay ends the pause
                let pause = backoff.min(self.peers.max_age(self.kind));
                event!(
                    "store_call_failed",
                    "feed={} elapsed_ms={} pause_ms={} hosts_before={hosts_before}",
                    self.kind,
                    BootInstant::now().saturating_duration_since(sent_at).as_millis(),
                    pause.as_millis()
                );
                let due = self.copy.sink.expire(Instant::now());
                self.pause_without_relay(limit_pause(pause, due)).await;
            }
        }
    }

    /// Rejects an answer from before the last return of the store from an older copy.
    fn check_era(&self, answer: StoreAnswer) -> Result<StoreAnswer, FeedError> {
        let era = match &answer {
            StoreAnswer::Listing(listing) => listing.era,
            StoreAnswer::Changes(changes, _, _) => changes.era,
        };
        match self.copy.accepts_era(era) {
            true => Ok(answer),
            false => Err(FeedError::Unavailable("the response is of an earlier era".into())),
        }
    }

    /// Pauses, but not beyond the time at which the log can be read from a relay.
    async fn pause_without_relay(&self, pause: Duration) {
        let ends_at = Instant::now() + pause;
        loop {
            let new_status = self.peers.status_received.notified();
            if self.relay_status().is_some() {
                return;
            }
            if timeout_at(ends_at.into(), new_status).await.is_err() {
                return;
            }
        }
    }

    /// Applies an answer of the store. Returns whether the end of the log is reached.
    fn apply_answer(&mut self, answer: StoreAnswer, sent_at: BootInstant) -> bool {
        let now = Now::read();
        let has_failed = self.health.record_success(self.copy.confirmation_age(now.instant));
        match answer {
            StoreAnswer::Listing(listing) => {
                self.copy.apply_listing(listing, has_failed, sent_at, now);
                // the next read returns the records that were written during the listing
                false
            }
            StoreAnswer::Changes(LogChanges { end, .. }, from, _) if end < from => {
                event!("log_rewound", "feed={} offset={from} end={end}", self.kind);
                self.copy.start_again(has_failed, now);
                false
            }
            StoreAnswer::Changes(changes, from, wait) => {
                // records that this host does not use end the wait as well
                let is_empty = changes.next == from;
                let complete_at = confirmation_time(sent_at, wait, is_empty);
                self.copy.apply_changes(changes, has_failed, complete_at, now)
            }
        }
    }
}

/// Answer of the store to a read.
enum StoreAnswer {
    Listing(LogListing),
    /// Changes, with the offset and the wait of the read.
    Changes(LogChanges, Offset, Duration),
}

/// Shortens a pause to end when the next removal is due.
fn limit_pause(pause: Duration, due: Option<Instant>) -> Duration {
    due.map_or(pause, |due| pause.min(due.saturating_duration_since(Instant::now())))
}

/// Returns the time up to which an answer confirms that there are no newer records. An empty
/// answer after the whole wait confirms the log up to the end of the wait, any other answer
/// only up to the time of the call.
fn confirmation_time(sent_at: BootInstant, wait: Duration, is_empty: bool) -> BootInstant {
    let elapsed = BootInstant::now().saturating_duration_since(sent_at);
    if is_empty && elapsed >= wait { sent_at + wait } else { sent_at }
}
