use {
    http::{
        HeaderValue, StatusCode,
        header::{CONNECTION, CONTENT_TYPE},
    },
    mango_config::{ApiError, Rejection},
    mango_http::{ChunkSource, Response, ResponseBody},
    serde::Serialize,
    std::io,
};

/// Type of the chunk source of responses to operators. It has no values, because these
/// responses are never streamed.
pub(super) enum NoChunkSource {}

impl ChunkSource for NoChunkSource {
    fn next_chunk(&mut self) -> Option<io::Result<bytes::Bytes>> {
        match *self {}
    }
}

/// Response to an operator.
pub(super) type ApiResponse = Response<NoChunkSource>;

/// JSON response.
pub(super) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> ApiResponse {
    match serde_json::to_string(value) {
        Ok(text) => response(status, "application/json", text),
        Err(e) => response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", e.to_string()),
    }
}

/// Text response with status 200.
pub(super) fn text_response(content_type: &'static str, text: String) -> ApiResponse {
    response(StatusCode::OK, content_type, text)
}

/// Error response; `reason` is a fixed name that clients can compare.
pub(super) fn error_response(
    status: StatusCode,
    reason: &str,
    detail: impl ToString,
) -> ApiResponse {
    error_with_rejection(status, reason, detail, None)
}

/// Error response to a configuration change that was rejected.
pub(super) fn rejection_response(rejection: Rejection) -> ApiResponse {
    let detail = rejection.to_string();
    error_with_rejection(StatusCode::CONFLICT, "rejected", detail, Some(rejection))
}

fn error_with_rejection(
    status: StatusCode,
    reason: &str,
    detail: impl ToString,
    rejection: Option<Rejection>,
) -> ApiResponse {
    let (reason, detail) = (reason.to_owned(), detail.to_string());
    json_response(status, &ApiError { reason, detail, rejection })
}

// Connections are closed after each response, so that idle ones occupy no threads.
fn response(status: StatusCode, content_type: &'static str, text: String) -> ApiResponse {
    let mut response = ApiResponse::new(ResponseBody::full(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
