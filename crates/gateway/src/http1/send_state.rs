use {
    super::socket_diagnostics::{ConnectionReport, SocketDiagnostics},
    crate::telemetry::event,
    tokio::net::TcpStream,
};

/// `idiag_timer` while sent bytes wait for their acknowledgement.
const RETRANSMISSION_TIMER: u8 = 1;
/// `idiag_timer` while the peer's receive window is closed.
const WINDOW_PROBE_TIMER: u8 = 4;

thread_local! {
    /// `None` where the system does not report the state of connections.
    static DIAGNOSTICS: Option<SocketDiagnostics> = open_diagnostics();
}

fn open_diagnostics() -> Option<SocketDiagnostics> {
    SocketDiagnostics::open()
        .inspect_err(|error| {
            event!("connection_states_unavailable", "reason={:?}", error.to_string());
        })
        .ok()
}

/// How far the kernel has got with the bytes that were written to a connection.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct SendState {
    /// Whether the peer has acknowledged all bytes.
    pub(super) is_drained: bool,
    /// Whether the kernel retransmits, or probes a closed receive window.
    pub(super) is_stalled: bool,
    /// Whether the peer has not acknowledged the latest retransmission or probe.
    pub(super) is_unanswered: bool,
}

impl SendState {
    /// Whether the system reports the state of connections.
    pub(super) fn is_available() -> bool {
        DIAGNOSTICS.with(Option::is_some)
    }

    /// `None` if the kernel does not report it.
    pub(super) fn query(stream: &TcpStream) -> Option<SendState> {
        let (local, peer) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
        DIAGNOSTICS.with(|diagnostics| {
            let report = diagnostics.as_ref()?.query(local, peer).ok()?;
            Some(SendState::from_report(&report))
        })
    }

    pub(super) fn from_report(report: &ConnectionReport) -> SendState {
        let has_unanswered_sends = report.unanswered_sends > 0;
        let (is_stalled, is_unanswered) = match report.timer {
            WINDOW_PROBE_TIMER => (true, has_unanswered_sends),
            RETRANSMISSION_TIMER if has_unanswered_sends => (true, is_ack_due(report)),
            _ => (false, false),
        };
        SendState { is_drained: report.unacknowledged_bytes == 0, is_stalled, is_unanswered }
    }
}

/// Whether the latest retransmission was sent after the last acknowledgement. The peer acknowledges
/// also a retransmission for which it has no room.
fn is_ack_due(report: &ConnectionReport) -> bool {
    let timeout_ms = report.retransmission_timeout_us / 1_000;
    // an expired timer is reported as a negative time
    let expires_ms = (report.timer_expires_ms as i32).max(0) as u32;
    timeout_ms.saturating_sub(expires_ms) < report.last_ack_age_ms
}
