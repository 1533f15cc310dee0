use {
    http::{HeaderMap, HeaderValue, StatusCode},
    mango_http::{Response, ResponseBody},
    serde::Serialize,
};

/// Value of a numeric parameter in a query string such as `from=3&wait_ms=10`.
pub(crate) fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// Header value as text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Request id that the caller sent, or a generated one.
pub(crate) fn request_id(headers: &HeaderMap) -> String {
    match header_text(headers, "X-Request-Id") {
        Some(id) => id.to_owned(),
        None => uuid::Uuid::new_v4().to_string(),
    }
}

pub(crate) fn status_response<S>(status: StatusCode) -> Response<S> {
    let mut response = Response::new(ResponseBody::full(""));
    *response.status_mut() = status;
    response
}

pub(crate) fn json_response<S, T: Serialize>(status: StatusCode, value: &T) -> Response<S> {
    let text =
        serde_json::to_string(value).expect("replies have only string keys and can be serialised");
    let mut response = Response::new(ResponseBody::full(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

/// Refusal whose header tells the caller that the request was not executed.
pub(crate) fn refuse_unread<S>(status: StatusCode) -> Response<S> {
    let mut response = status_response(status);
    response.headers_mut().insert("X-Refused", HeaderValue::from_static("unread"));
    response
}
