use {
    super::handle::Membership,
    crate::platform::{Backoff, HostListClient, RecordLog},
    crossbeam::channel::{Receiver, RecvTimeoutError, Sender},
    log::{error, info, warn},
    mango_wire::{
        platform::HostState,
        records::{FleetRecord, Join, Leave},
        settings::Settings,
    },
    std::{
        net::SocketAddr,
        sync::Weak,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

pub(crate) const FLEET_STREAM: &str = "fleet";
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Request to the registrar's thread.
pub(crate) enum RegistrarRequest {
    /// Appends the Leave record and ends the thread; the sender receives whether
    /// the append succeeded.
    Leave(Sender<bool>),
    /// Ends the thread without a Leave record.
    Stop,
}

/// Appends this host's Join and Leave records and reads the platform's host list.
/// It runs on its own thread, because both may block for seconds.
pub(crate) struct Registrar<L> {
    log: L,
    /// `None` if the settings contain no URL of a host list.
    host_list: Option<HostListClient>,
    settings: Settings,
    identity: String,
    peer_address: SocketAddr,
    membership: Weak<Membership>,
    backoff: Backoff,
    next_join: Instant,
    next_list_read: Instant,
    host_list_failing: bool,
}

impl<L: RecordLog> Registrar<L> {
    pub(crate) fn new(
        log: L,
        settings: &Settings,
        identity: &str,
        peer_address: SocketAddr,
        membership: Weak<Membership>,
    ) -> Self {
        let platform = &settings.platform;
        let host_list =
            (!platform.host_list_url.is_empty()).then(|| HostListClient::open(platform));
        let max_pause = Duration::from_millis(platform.reconnect_max_ms.into());
        Self {
            log,
            host_list,
            settings: settings.clone(),
            identity: identity.to_owned(),
            peer_address,
            membership,
            backoff: Backoff::new(INITIAL_BACKOFF, max_pause),
            next_join: Instant::now(),
            next_list_read: Instant::now(),
            host_list_failing: false,
        }
    }

    pub(crate) fn run(mut self, requests: &Receiver<RegistrarRequest>) {
        loop {
            match requests.recv_timeout(POLL_INTERVAL) {
                Ok(RegistrarRequest::Leave(done)) => {
                    let _ = done.send(self.append_leave());
                    return;
                }
                Ok(RegistrarRequest::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            let Some(membership) = self.membership.upgrade() else {
                return;
            };
            if Instant::now() >= self.next_join {
                self.renew_join(&membership);
            }
            if Instant::now() >= self.next_list_read {
                self.read_host_list(&membership);
            }
        }
    }

    /// Appends a Join record if this host is not registered, or if its newest one
    /// is older than a third of the log's retention time.
    fn renew_join(&mut self, membership: &Membership) {
        if membership.is_leaving() {
            return;
        }
        if membership.own_identity_left() {
            // the identity can't be registered again, so the error is only logged once a minute
            error!("event=identity_replaced identity={}", self.identity);
            self.next_join = Instant::now() + Duration::from_secs(60);
            return;
        }
        let renewal_interval = Duration::from_millis(self.settings.platform.retention_ms / 3);
        if let Some(join_read_at) = membership.own_join_read_at()
            && join_read_at.elapsed() < renewal_interval
        {
            self.next_join = Instant::now() + POLL_INTERVAL;
            return;
        }
        let join = Join {
            at_ms: unix_ms(),
            host_id: self.settings.host_id.clone(),
            identity: self.identity.clone(),
            peer_address: self.peer_address.to_string(),
            region: self.settings.region.clone(),
            zone: self.settings.zone.clone(),
        };
        let pause = match self.append(&join.into()) {
            // gives the thread that reads the stream time to read the record
            Ok(()) => {
                self.backoff.reset();
                Duration::from_millis(self.settings.platform.request_ms.into())
            }
            Err(error) => {
                warn!("event=join_failed error=\"{error}\"");
                self.backoff.next_pause()
            }
        };
        self.next_join = Instant::now() + pause;
    }

    fn append_leave(&mut self) -> bool {
        let leave =
            Leave { host_id: self.settings.host_id.clone(), identity: self.identity.clone() };
        let record = leave.into();
        // a repeated Leave record has no effect, so a failed append can be retried
        // even if it may have been applied
        for _ in 0..3 {
            match self.append(&record) {
                Ok(()) => return true,
                Err(error) => warn!("event=leave_failed error=\"{error}\""),
            }
        }
        false
    }

    fn append(&self, record: &FleetRecord) -> anyhow::Result<()> {
        let body = serde_json::to_string(record)?;
        let request_timeout = Duration::from_millis(self.settings.platform.request_ms.into());
        self.log.append(FLEET_STREAM, &body, Instant::now() + request_timeout)?;
        Ok(())
    }

    /// Reads which hosts are marked as leaving and at which addresses hosts are listed.
    fn read_host_list(&mut self, membership: &Membership) {
        let interval = Duration::from_millis(self.settings.platform.host_list_ms.into());
        self.next_list_read = Instant::now() + interval;
        let Some(client) = &self.host_list else {
            return;
        };
        let entries = match client.read() {
            Ok(entries) => entries,
            Err(error) => {
                if !self.host_list_failing {
                    warn!("event=host_list_failed error=\"{error:#}\"");
                }
                self.host_list_failing = true;
                return;
            }
        };
        if self.host_list_failing {
            info!("event=host_list_restored");
        }
        self.host_list_failing = false;
        let leaving = entries
            .iter()
            .filter(|entry| entry.state == HostState::Leaving)
            .map(|entry| entry.host_id.clone())
            .collect();
        membership.set_marked_leaving(leaving);
        for entry in entries {
            if let Ok(address) = entry.peer_address.parse() {
                membership.set_listed_address(&entry.host_id, address);
            }
        }
    }
}

pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
