use bytes::Bytes;

/// Complete answer to a call of a plain service.
pub(crate) struct ServiceReply {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
    /// Endpoint that answered; empty for the stored answer of an earlier request.
    pub(crate) endpoint_id: String,
}
