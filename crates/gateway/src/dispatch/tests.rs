use {
    super::event_splitter::{EventSplitter, WholeEvents},
    proptest::prelude::*,
};

fn whole(bytes: &[u8], last_id: Option<u64>) -> WholeEvents {
    WholeEvents { bytes: bytes.to_vec(), last_id }
}

/// Guards against half events that reach a caller when an endpoint breaks off.
#[test]
fn only_whole_events_are_taken() {
    let mut splitter = EventSplitter::default();
    splitter.input().extend_from_slice(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(splitter.take_whole(None), whole(b"id: 1\ndata: a\n\n", Some(1)));
    assert!(splitter.has_partial_event());
    splitter.input().extend_from_slice(b"ta: b\n\n");
    assert_eq!(splitter.take_whole(None), whole(b"id: 2\ndata: b\n\n", Some(2)));
    assert!(!splitter.has_partial_event());
}

/// Guards against events that come twice after a stream went on elsewhere.
#[test]
fn delivered_events_are_left_out() {
    let mut splitter = EventSplitter::default();
    splitter.input().extend_from_slice(b"id: 3\n\nid: 4\r\ndata: d\r\n\r\n");
    assert_eq!(splitter.take_whole(Some(3)), whole(b"id: 4\r\ndata: d\r\n\r\n", Some(4)));
}

proptest! {
    /// Guards against bytes that are lost or invented, however they arrive.
    #[test]
    fn events_keep_all_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..500), cut in 1_usize..30) {
        let mut splitter = EventSplitter::default();
        let mut taken = Vec::new();
        for piece in bytes.chunks(cut) {
            splitter.input().extend_from_slice(piece);
            taken.extend(splitter.take_whole(None).bytes);
        }
        taken.extend_from_slice(splitter.input());
        prop_assert_eq!(taken, bytes);
    }
}
