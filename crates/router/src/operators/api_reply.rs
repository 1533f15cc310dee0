use {
    super::no_chunks::NoChunks,
    http::{
        HeaderValue, StatusCode,
        header::{CONNECTION, CONTENT_TYPE},
    },
    mango_config::{ApiError, Rejection},
    mango_http::{Answer, AnswerBody},
    serde::Serialize,
};

/// Answer to an operator.
pub(super) type Response = Answer<NoChunks>;

/// JSON answer.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_string(value) {
        Ok(text) => answer(status, "application/json", text),
        Err(e) => answer(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", e.to_string()),
    }
}

/// Text answer.
pub(super) fn text(content_type: &'static str, text: String) -> Response {
    answer(StatusCode::OK, content_type, text)
}

/// Refusal with a fixed name of the reason.
pub(super) fn refusal(status: StatusCode, reason: &str, detail: impl ToString) -> Response {
    error(status, reason, detail, None)
}

/// Refusal of a change that was rejected.
pub(super) fn rejected(rejection: Rejection) -> Response {
    let detail = rejection.to_string();
    error(StatusCode::CONFLICT, "rejected", detail, Some(rejection))
}

fn error(
    status: StatusCode,
    reason: &str,
    detail: impl ToString,
    rejection: Option<Rejection>,
) -> Response {
    let (reason, detail) = (reason.to_owned(), detail.to_string());
    json(status, &ApiError { reason, detail, rejection })
}

fn answer(status: StatusCode, content_type: &'static str, text: String) -> Response {
    let mut response = Response::new(AnswerBody::whole(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    // idle connections would hold threads
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
