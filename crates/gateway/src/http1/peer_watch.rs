use {
    super::send_state::SendState,
    socket2::SockRef,
    std::{
        cell::Cell,
        future::{pending, poll_fn},
        io,
        task::Poll,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time::sleep_until},
};

/// How often a connection with unacknowledged bytes is checked within its user timeout.
const CHECKS_PER_USER_TIMEOUT: u32 = 6;
/// Checks for which a peer may leave a retransmission or probe unanswered. The kernel sends the first
/// one about 0.2 s after the peer was lost, so a lost peer is found within the user timeout.
const MAX_UNANSWERED_CHECKS: u32 = 4;
/// User timeout of a connection that is closed before the peer has acknowledged all bytes.
const CLOSED_USER_TIMEOUT: Duration = Duration::from_secs(60);

/// Tells lost peers from peers that read slowly.
///
/// The TCP user timeout ends a connection whose sent bytes stay unacknowledged, also if the peer
/// answers each probe of its closed receive window. While bytes wait to be acknowledged, this watch
/// asks the kernel for the state of the connection: it prolongs the timeout of a peer that answers, and
/// reports a peer that does not. Where the kernel does not report the state, the user timeout alone
/// decides.
pub(crate) struct PeerWatch {
    /// `None` if the connection is not watched, or its state is not reported.
    user_timeout: Option<Duration>,
    /// When bytes were first sent of those that may still be unacknowledged.
    sending_since: Cell<Option<Instant>>,
    next_check_at: Cell<Instant>,
    /// Since when retransmissions and probes are unanswered.
    unanswered_since: Cell<Option<Instant>>,
    is_timeout_prolonged: Cell<bool>,
}

impl PeerWatch {
    /// A watch for a connection with this user timeout, if it has one.
    pub(super) fn new(user_timeout: Option<Duration>) -> PeerWatch {
        PeerWatch {
            user_timeout: user_timeout.filter(|_| SendState::is_available()),
            sending_since: Cell::new(None),
            next_check_at: Cell::new(Instant::now()),
            unanswered_since: Cell::new(None),
            is_timeout_prolonged: Cell::new(false),
        }
    }

    /// To be called before bytes are written.
    pub(crate) fn record_send(&self) {
        let Some(user_timeout) = self.user_timeout else { return };
        if self.sending_since.get().is_none() {
            let now = Instant::now();
            self.sending_since.set(Some(now));
            self.next_check_at.set(now + user_timeout / CHECKS_PER_USER_TIMEOUT);
        }
    }

    /// Waits until the peer is found to be lost. The task that writes to the connection must be the
    /// one that polls this.
    pub(crate) async fn lost(&self, stream: &TcpStream) -> io::Error {
        let Some(user_timeout) = self.user_timeout else { return pending().await };
        loop {
            // the task is woken anyway when it writes
            poll_fn(|_| match self.sending_since.get() {
                Some(_) => Poll::Ready(()),
                None => Poll::Pending,
            })
            .await;
            sleep_until(self.next_check_at.get().into()).await;
            if let Err(error) = self.check(stream, user_timeout) {
                return error;
            }
        }
    }

    /// Fails if the peer is lost.
    fn check(&self, stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
        let now = Instant::now();
        let interval = user_timeout / CHECKS_PER_USER_TIMEOUT;
        self.next_check_at.set(now + interval);
        let state = SendState::query(stream);
        let Some(state) = state.filter(|state| !state.is_drained) else {
            self.sending_since.set(None);
            self.unanswered_since.set(None);
            return match self.is_timeout_prolonged.replace(false) {
                true => SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout)),
                false => Ok(()),
            };
        };
        if state.is_unanswered {
            let since = self.unanswered_since.get().unwrap_or(now);
            self.unanswered_since.set(Some(since));
            return match now >= since + interval * MAX_UNANSWERED_CHECKS {
                true => Err(io::ErrorKind::TimedOut.into()),
                false => Ok(()),
            };
        }
        self.unanswered_since.set(None);
        if state.is_stalled {
            // the kernel compares the timeout with the time since the stall began
            let stalled_since = self.sending_since.get().unwrap_or(now);
            let prolonged = now.duration_since(stalled_since) + user_timeout;
            self.is_timeout_prolonged.set(true);
            SockRef::from(stream).set_tcp_user_timeout(Some(prolonged))?;
        }
        Ok(())
    }

    /// To be called before the connection is closed: the kernel goes on to send what the peer has
    /// not read yet.
    pub(crate) fn prepare_close(&self, stream: &TcpStream) {
        let is_drained = |state: SendState| state.is_drained;
        if self.sending_since.get().is_some()
            && !SendState::query(stream).is_none_or(is_drained)
            && self.unanswered_since.get().is_none()
        {
            // the connection is closed in any case
            let _ = SockRef::from(stream).set_tcp_user_timeout(Some(CLOSED_USER_TIMEOUT));
        }
    }
}
