use {
    crate::dispatch::Refusal,
    http::HeaderMap,
    mango_wire::Reason,
    std::time::{Duration, Instant},
};

pub(crate) const TEAM_HEADER: &str = "mango-team";
pub(crate) const WORK_HEADER: &str = "mango-work";
pub(crate) const CHAT_HEADER: &str = "mango-chat";
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
pub(crate) const DEADLINE_HEADER: &str = "mango-deadline-ms";

/// Maximum length of a header value, in bytes.
const MAX_VALUE_BYTES: usize = 128;
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Values of the request headers that this router evaluates.
#[derive(Debug)]
pub(crate) struct RequestHeaders {
    pub(crate) team: String,
    pub(crate) work: String,
    pub(crate) chat: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) deadline: Option<Instant>,
}

impl RequestHeaders {
    /// Parses the headers. A refusal names the header that is missing or malformed.
    pub(crate) fn parse(headers: &HeaderMap, now: Instant) -> Result<Self, Refusal> {
        Ok(Self {
            team: required_header(headers, TEAM_HEADER)?,
            work: required_header(headers, WORK_HEADER)?,
            chat: optional_header(headers, CHAT_HEADER)?,
            idempotency_key: optional_header(headers, IDEMPOTENCY_KEY_HEADER)?,
            deadline: parse_deadline(headers, now)?,
        })
    }
}

/// Refusal that names a missing or malformed header.
pub(crate) fn bad_header(name: &str, detail: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::BadHeader, detail).with_field(name)
}

fn required_header(headers: &HeaderMap, name: &str) -> Result<String, Refusal> {
    optional_header(headers, name)?
        .ok_or_else(|| bad_header(name, format!("header {name} is missing")))
}

fn optional_header(headers: &HeaderMap, name: &str) -> Result<Option<String>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad_header(name, format!("header {name} occurs more than once")));
    }
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_VALUE_BYTES {
        let detail =
            format!("header {name} must hold 1 to {MAX_VALUE_BYTES} visible ASCII characters");
        return Err(bad_header(name, detail));
    }
    Ok(Some(text.to_owned()))
}

fn parse_deadline(headers: &HeaderMap, now: Instant) -> Result<Option<Instant>, Refusal> {
    let Some(text) = optional_header(headers, DEADLINE_HEADER)? else { return Ok(None) };
    let valid = text.parse::<u64>().ok().filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    let ms = valid.ok_or_else(|| {
        let detail =
            format!("header {DEADLINE_HEADER} must be a number from 1 to {MAX_DEADLINE_MS}");
        bad_header(DEADLINE_HEADER, detail)
    })?;
    Ok(Some(now + Duration::from_millis(ms)))
}
