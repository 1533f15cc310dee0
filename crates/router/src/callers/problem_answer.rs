use {
    super::sse_source::SseSource,
    crate::dispatch::Refusal,
    http::{
        Response,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    mango_http::{Answer, AnswerBody},
    mango_wire::Reason,
};

pub(crate) const REQUEST_ID: &str = "mango-request-id";
pub(crate) const ENDPOINT: &str = "mango-endpoint";
const PROBLEM_TYPE: &str = "application/problem+json";

/// Answer that tells a caller why its request was refused.
pub(crate) fn problem_answer(refusal: &Refusal, request_id: &str) -> Answer<SseSource> {
    let problem = refusal.to_problem(request_id);
    // a problem holds only strings and numbers, which always serialise
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut answer = whole_answer(refusal.status, PROBLEM_TYPE, body, request_id);
    let headers = answer.headers_mut();
    if let Some(ms) = refusal.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
    }
    if refusal.reason == Reason::MethodNotAllowed {
        headers.insert(http::header::ALLOW, HeaderValue::from_static("POST"));
    }
    answer
}

/// Answer with a whole body.
pub(crate) fn whole_answer(
    status: u16,
    content_type: &str,
    body: impl Into<bytes::Bytes>,
    request_id: &str,
) -> Answer<SseSource> {
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let headers = answer.headers_mut();
    let binary = HeaderValue::from_static("application/octet-stream");
    headers.insert(CONTENT_TYPE, HeaderValue::from_str(content_type).unwrap_or(binary));
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID, id);
    }
    answer
}
