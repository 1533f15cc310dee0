use {crate::memory::Reservation, std::ops::Deref};

/// A completely received request body and the memory that is reserved for it.
pub(crate) struct RequestBody {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl RequestBody {
    pub(crate) fn new(bytes: Vec<u8>, reservation: Reservation) -> RequestBody {
        RequestBody { bytes, _reservation: reservation }
    }
}

impl Deref for RequestBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}
