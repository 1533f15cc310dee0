use super::{
    body_framing::BodyFraming,
    head_error::HeadError,
    headers::{Headers, USUAL_HEADERS, room_for_headers},
};

/// Request line and headers of an HTTP/1 request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    pub method: Box<str>,
    pub target: Box<str>,
    pub headers: Headers,
    pub framing: BodyFraming,
    /// Whether the caller allows another request on the connection.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Parses a head at the start of `input` and removes its bytes. Returns `None` and leaves
    /// `input` unchanged while the head is incomplete.
    pub fn decode(input: &mut Vec<u8>, max_bytes: usize) -> Result<Option<RequestHead>, HeadError> {
        let parsed =
            match parse_head(input, max_bytes, &mut [httparse::EMPTY_HEADER; USUAL_HEADERS]) {
                Err(HeadError::TooManyHeaders) => {
                    parse_head(input, max_bytes, &mut room_for_headers(input.len()))
                }
                result => result,
            };
        let Some((head, length)) = parsed? else { return Ok(None) };
        input.drain(..length);
        Ok(Some(head))
    }

    /// The path of the request target, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The host name in the `Host` header, without the port.
    pub fn host_name(&self) -> Option<&str> {
        let value = self.headers.get_unique("host")?;
        Some(match value.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
            _ => value,
        })
    }
}

/// Parses a head, and returns its length with it.
fn parse_head<'b>(
    input: &'b [u8],
    max_bytes: usize,
    room: &mut [httparse::Header<'b>],
) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut request = httparse::Request::new(room);
    let length = match request.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() > max_bytes => {
            return Err(HeadError::TooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    if length > max_bytes {
        return Err(HeadError::TooLarge);
    }
    let is_http_1_1 = request.version == Some(1);
    let headers = Headers::from_parsed(request.headers);
    let (Some(method), Some(target)) = (request.method, request.path) else {
        return Err(HeadError::Malformed);
    };
    let head = RequestHead {
        method: method.into(),
        target: target.into(),
        framing: BodyFraming::of_request(&headers)?,
        keep_alive: if is_http_1_1 {
            !headers.contains_token("connection", "close")
        } else {
            headers.contains_token("connection", "keep-alive")
        },
        headers,
    };
    Ok(Some((head, length)))
}
