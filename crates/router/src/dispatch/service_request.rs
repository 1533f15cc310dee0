use bytes::Bytes;

/// A caller's request to a plain service.
pub(crate) struct ServiceRequest {
    pub(crate) method: http::Method,
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
}
