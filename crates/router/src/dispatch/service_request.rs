use bytes::Bytes;

/// A call of a plain service to run.
pub(crate) struct ServiceRequest {
    pub(crate) method: http::Method,
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
}
