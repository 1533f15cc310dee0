use bytes::Bytes;

/// Complete answer to a call of a plain service.
pub(crate) struct ServiceReply {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
    pub(crate) endpoint_id: String,
}
