use bytes::Bytes;

/// Whole answer to a service call.
pub(crate) struct ServiceReply {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
    pub(crate) endpoint_id: String,
}
