use super::{head_error::HeadError, headers::Headers};

/// How the length of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    Length(u64),
    Chunked,
    /// The body ends when the peer closes the connection (responses only).
    UntilClose,
}

impl BodyFraming {
    /// Framing of a request body. Ambiguous framing headers are rejected, since they allow
    /// request smuggling.
    pub fn of_request(headers: &Headers) -> Result<BodyFraming, HeadError> {
        Ok(declared_framing(headers)?.unwrap_or(BodyFraming::Length(0)))
    }

    /// Framing of the body of a response with the given status to a request with the given
    /// method.
    pub fn of_response(
        method: &str,
        status: u16,
        headers: &Headers,
    ) -> Result<BodyFraming, HeadError> {
        if !allows_body(method, status) {
            return Ok(BodyFraming::Length(0));
        }
        Ok(declared_framing(headers)?.unwrap_or(BodyFraming::UntilClose))
    }
}

/// Whether the response with this status to a request with this method may have a body. One that may
/// not ends with its head, whatever its headers declare.
pub(crate) fn allows_body(method: &str, status: u16) -> bool {
    method != "HEAD" && status >= 200 && status != 204 && status != 304
}

/// Framing declared by the headers; `None` if they declare neither an encoding nor a length.
fn declared_framing(headers: &Headers) -> Result<Option<BodyFraming>, HeadError> {
    let has_encoding = headers.contains("transfer-encoding");
    let has_length = headers.contains("content-length");
    match (has_encoding, has_length) {
        (false, false) => Ok(None),
        (true, true) => Err(HeadError::Framing),
        (true, false) => match headers.get_unique("transfer-encoding") {
            Some(encoding) if encoding.eq_ignore_ascii_case("chunked") => {
                Ok(Some(BodyFraming::Chunked))
            }
            _ => Err(HeadError::Framing),
        },
        (false, true) => {
            let text = headers.get_unique("content-length").ok_or(HeadError::Framing)?;
            if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(HeadError::Framing);
            }
            text.parse().map(|length| Some(BodyFraming::Length(length))).or(Err(HeadError::Framing))
        }
    }
}
