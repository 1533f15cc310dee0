use {
    super::{
        answer_watch::overdue_time,
        event_splitter::{CompleteEvents, EventSplitter},
    },
    proptest::prelude::*,
    std::time::Duration,
};

fn events(bytes: &[u8], last_id: Option<u64>) -> CompleteEvents {
    CompleteEvents { bytes: bytes.to_vec(), last_id }
}

/// Guards against partial events that reach a caller when an endpoint's stream breaks off.
#[test]
fn only_complete_events_are_taken() {
    let mut splitter = EventSplitter::default();
    splitter.buffer().extend_from_slice(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(splitter.take_complete(None), events(b"id: 1\ndata: a\n\n", Some(1)));
    assert!(splitter.has_partial_event());
    splitter.buffer().extend_from_slice(b"ta: b\n\n");
    assert_eq!(splitter.take_complete(None), events(b"id: 2\ndata: b\n\n", Some(2)));
    assert!(!splitter.has_partial_event());
}

/// Guards against duplicate events after a stream continues on another endpoint.
#[test]
fn delivered_events_are_dropped() {
    let mut splitter = EventSplitter::default();
    splitter.buffer().extend_from_slice(b"id: 3\n\nid: 4\r\ndata: d\r\n\r\n");
    assert_eq!(splitter.take_complete(Some(3)), events(b"id: 4\r\ndata: d\r\n\r\n", Some(4)));
}

/// Guards against an endpoint that counts as failing since requests leave it less time than it
/// usually takes, and against one that never does since no deadline is late enough.
#[test]
fn a_send_is_overdue_after_several_usual_times() {
    let usual_time = Duration::from_millis(500);
    let overdue_ms = |left_ms| overdue_time(usual_time, Duration::from_millis(left_ms)).as_millis();
    assert_eq!(overdue_ms(10_000), 2_000);
    assert_eq!(overdue_ms(2_000), 1_800);
    for short_ms in [0, 100, 1_000, 1_300] {
        assert!(overdue_ms(short_ms) > u128::from(short_ms) + 120, "{short_ms} ms are left");
    }
}

proptest! {
    /// Guards against lost or added bytes, however the stream is split into reads.
    #[test]
    fn events_keep_all_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..500), cut in 1_usize..30) {
        let mut splitter = EventSplitter::default();
        let mut taken = Vec::new();
        for piece in bytes.chunks(cut) {
            splitter.buffer().extend_from_slice(piece);
            taken.extend(splitter.take_complete(None).bytes);
        }
        taken.extend_from_slice(splitter.buffer());
        prop_assert_eq!(taken, bytes);
    }
}
