use super::{head_error::HeadError, headers::Headers};

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    Length(u64),
    Chunked,
    /// The body ends with the connection (responses only).
    UntilClose,
}

impl BodyFraming {
    /// Framing of a request. Anything that two parsers could read differently is refused.
    pub fn of_request(headers: &Headers) -> Result<BodyFraming, HeadError> {
        Ok(declared(headers)?.unwrap_or(BodyFraming::Length(0)))
    }

    /// Framing of a response with this status to a request with this method.
    pub fn of_response(
        method: &str,
        status: u16,
        headers: &Headers,
    ) -> Result<BodyFraming, HeadError> {
        if method == "HEAD" || status < 200 || status == 204 || status == 304 {
            return Ok(BodyFraming::Length(0));
        }
        Ok(declared(headers)?.unwrap_or(BodyFraming::UntilClose))
    }
}

fn declared(headers: &Headers) -> Result<Option<BodyFraming>, HeadError> {
    let has_coding = headers.contains("transfer-encoding");
    let has_length = headers.contains("content-length");
    match (has_coding, has_length) {
        (false, false) => Ok(None),
        (true, true) => Err(HeadError::Framing),
        (true, false) => match headers.get_unique("transfer-encoding") {
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => {
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
