use crate::{http1::ResponseHead, memory::Reservation};

/// A complete response of an endpoint whose memory is reserved until it is dropped.
#[derive(Debug)]
pub(super) struct HeldResponse {
    pub(super) head: ResponseHead,
    pub(super) body: Vec<u8>,
    pub(super) _reservation: Reservation,
}
