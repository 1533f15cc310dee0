use {
    super::sse_source::SseSource,
    crate::dispatch::Refusal,
    http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    mango_http::{Response, ResponseBody},
    mango_wire::Reason,
};

pub(crate) const REQUEST_ID_HEADER: &str = "mango-request-id";
pub(crate) const ENDPOINT_HEADER: &str = "mango-endpoint";
const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// Response that states why a request was refused.
pub(crate) fn problem_response(refusal: &Refusal, request_id: &str) -> Response<SseSource> {
    let problem = refusal.to_problem(request_id);
    // a problem contains only strings and numbers, so its serialisation cannot fail
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = full_response(refusal.status, PROBLEM_CONTENT_TYPE, body, request_id);
    let headers = response.headers_mut();
    if let Some(ms) = refusal.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
    }
    if refusal.reason == Reason::MethodNotAllowed {
        headers.insert(http::header::ALLOW, HeaderValue::from_static("POST"));
    }
    response
}

/// Response with a complete body. A status or content type that is not valid in HTTP
/// becomes 502 or `application/octet-stream`.
pub(crate) fn full_response(
    status: u16,
    content_type: &str,
    body: impl Into<bytes::Bytes>,
    request_id: &str,
) -> Response<SseSource> {
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let default_type = HeaderValue::from_static("application/octet-stream");
    headers.insert(CONTENT_TYPE, HeaderValue::from_str(content_type).unwrap_or(default_type));
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    response
}
