use {
    mango_wire::{
        MAX_MESSAGE_BYTES, decode_message, encode_message,
        peer::{LoadEntry, LoadGossip, PeerFrame, PeerMessage},
    },
    proptest::prelude::*,
};

fn gossip(entries: usize) -> PeerFrame {
    let entry = LoadEntry {
        endpoint: 7,
        epoch: 9,
        version: 1,
        in_flight: 3,
        queued: 0,
        weight_permille: 1000,
        age_ms: 20,
    };
    let message = PeerMessage::LoadGossip(LoadGossip { entries: vec![entry; entries] });
    PeerFrame { call: 0, reply: false, message }
}

// Guards against panics on bytes from a faulty or hostile peer, and against decoded messages
// that exceed the size limit when they are encoded again.
proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2048)) {
        if let Ok(frame) = decode_message(&bytes) {
            prop_assert!(encode_message(&frame).is_ok());
        }
    }

    #[test]
    fn truncation_is_an_error(entries in 1usize..50, cut in 1usize..8) {
        let bytes = encode_message(&gossip(entries)).unwrap();
        prop_assert!(decode_message(&bytes[..bytes.len() - cut]).is_err());
    }
}

// Guards against a length field that makes the decoder allocate before it has
// received the bytes.
#[test]
fn huge_declared_length_is_refused() {
    let mut bytes = encode_message(&gossip(0)).unwrap();
    bytes.pop();
    bytes.extend([253, 255, 255, 255, 255, 255, 255, 255, 0]);
    assert!(decode_message(&bytes).is_err());
}

#[test]
fn oversize_and_trailing_bytes_are_refused() {
    assert!(decode_message(&vec![0; MAX_MESSAGE_BYTES + 1]).is_err());
    let mut bytes = encode_message(&gossip(2)).unwrap();
    bytes.push(0);
    assert!(decode_message(&bytes).is_err());
    assert!(encode_message(&gossip(20_000)).is_err());
}

/// Guards against an error that names another limit than the one that the message exceeds.
#[test]
fn a_size_error_names_its_limit() {
    let error = mango_wire::encode_bounded(&"abcdefgh", 4).expect_err("too large");
    assert_eq!(error.to_string(), "message of 9 bytes, limit 4");
}
