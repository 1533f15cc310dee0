use super::{send_state::SendState, socket_diagnostics::ConnectionReport};

fn state(timer: u8, unanswered_sends: u8, last_ack_age_ms: u32) -> SendState {
    SendState::from_report(&ConnectionReport {
        timer,
        unanswered_sends,
        timer_expires_ms: 300,
        unacknowledged_bytes: 1,
        retransmission_timeout_us: 400_000,
        last_ack_age_ms,
    })
}

/// Guards against peers that are taken for lost although they acknowledge retransmissions for which
/// they have no room, or for alive although they do not.
#[test]
fn acknowledgements_after_the_latest_retransmission_count() {
    let stalled = |is_unanswered| SendState { is_drained: false, is_stalled: true, is_unanswered };
    // the latest retransmission was sent 100 ms ago
    assert_eq!(state(1, 3, 50), stalled(false));
    assert_eq!(state(1, 3, 150), stalled(true));
    assert_eq!(state(4, 0, 900), stalled(false));
    assert_eq!(state(4, 1, 900), stalled(true));
    let sending = SendState { is_drained: false, is_stalled: false, is_unanswered: false };
    assert_eq!(state(1, 0, 900), sending);
}

/// Guards against a timer whose expiry is reported as a negative time.
#[test]
fn a_timer_that_has_expired_is_not_far_away() {
    let report = ConnectionReport {
        timer: 1,
        unanswered_sends: 1,
        timer_expires_ms: -4_i32 as u32,
        unacknowledged_bytes: 1,
        retransmission_timeout_us: 400_000,
        last_ack_age_ms: 500,
    };
    assert!(SendState::from_report(&report).is_unanswered);
    let report = ConnectionReport { last_ack_age_ms: 300, ..report };
    assert!(!SendState::from_report(&report).is_unanswered);
}
