use super::{
    body_framing::BodyFraming,
    head_error::HeadError,
    headers::{Headers, USUAL_HEADERS, room_for_headers},
};

/// Longest head of a response, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 65_536;

/// Status line and headers of an HTTP/1 response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub reason: Box<str>,
    pub headers: Headers,
    pub framing: BodyFraming,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Parses a head at the start of `input` and removes its bytes. Returns `None` while the
    /// head is incomplete. Interim responses (1xx) are skipped and removed. `method` is the
    /// method of the request.
    pub fn decode(input: &mut Vec<u8>, method: &str) -> Result<Option<ResponseHead>, HeadError> {
        loop {
            let Some(head) = decode_head(input, method)? else { return Ok(None) };
            if !head.is_interim() {
                return Ok(Some(head));
            }
        }
    }

    /// Like `decode`, but also returns the heads of interim responses.
    pub(crate) fn decode_any(
        input: &mut Vec<u8>,
        method: &str,
    ) -> Result<Option<ResponseHead>, HeadError> {
        decode_head(input, method)
    }

    /// Whether the final response follows.
    pub(crate) fn is_interim(&self) -> bool {
        self.status < 200
    }
}

fn decode_head(input: &mut Vec<u8>, method: &str) -> Result<Option<ResponseHead>, HeadError> {
    let parsed = match parse_head(input, method, &mut [httparse::EMPTY_HEADER; USUAL_HEADERS]) {
        Err(HeadError::TooManyHeaders) => parse_head(
            input,
            method,
            &mut room_for_headers(input.len().min(MAX_RESPONSE_HEAD_BYTES)),
        ),
        result => result,
    };
    let Some((head, length)) = parsed? else { return Ok(None) };
    input.drain(..length);
    Ok(Some(head))
}

/// Parses a head, and returns its length with it.
fn parse_head<'b>(
    input: &'b [u8],
    method: &str,
    room: &mut [httparse::Header<'b>],
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut response = httparse::Response::new(room);
    let length = match response.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() > MAX_RESPONSE_HEAD_BYTES => {
            return Err(HeadError::TooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let Some(status) = response.code else { return Err(HeadError::Malformed) };
    let is_http_1_1 = response.version == Some(1);
    let reason = response.reason.unwrap_or_default().into();
    let headers = Headers::from_parsed(response.headers);
    let framing = BodyFraming::of_response(method, status, &headers)?;
    let head = ResponseHead {
        status,
        reason,
        framing,
        keep_alive: is_http_1_1
            && framing != BodyFraming::UntilClose
            && !headers.contains_token("connection", "close"),
        headers,
    };
    Ok(Some((head, length)))
}
