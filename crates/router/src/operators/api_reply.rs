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

/// Type of the chunk source of operators' answers. It has no values, because these answers
/// are never streamed.
pub(super) enum NoChunkSource {}

impl ChunkSource for NoChunkSource {
    fn next_chunk(&mut self) -> Option<io::Result<bytes::Bytes>> {
        match *self {}
    }
}

pub(super) type Reply = Response<NoChunkSource>;

/// JSON answer.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    match serde_json::to_string(value) {
        Ok(text) => answer(status, "application/json", text),
        Err(e) => answer(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", e.to_string()),
    }
}

/// Text answer.
pub(super) fn text(content_type: &'static str, text: String) -> Reply {
    answer(StatusCode::OK, content_type, text)
}

/// Error answer; `reason` is a fixed name that clients can compare.
pub(super) fn refusal(status: StatusCode, reason: &str, detail: impl ToString) -> Reply {
    error(status, reason, detail, None)
}

/// Error answer to a configuration change that was rejected.
pub(super) fn rejected(rejection: Rejection) -> Reply {
    let detail = rejection.to_string();
    error(StatusCode::CONFLICT, "rejected", detail, Some(rejection))
}

fn error(
    status: StatusCode,
    reason: &str,
    detail: impl ToString,
    rejection: Option<Rejection>,
) -> Reply {
    let (reason, detail) = (reason.to_owned(), detail.to_string());
    json(status, &ApiError { reason, detail, rejection })
}

// Connections are closed after each answer, so that idle ones occupy no threads.
fn answer(status: StatusCode, content_type: &'static str, text: String) -> Reply {
    let mut reply = Reply::new(ResponseBody::full(text));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}
