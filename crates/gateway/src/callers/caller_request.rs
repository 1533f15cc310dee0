use std::time::Duration;

/// What a caller's headers say, apart from the request line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerRequest {
    pub id: Box<str>,
    /// How long the caller waits; no limit of its own if absent.
    pub time_left: Option<Duration>,
    pub api_key: Option<Box<str>>,
    pub prefix: Option<PromptPrefix>,
    /// The caller holds a stream's events up to this one and resumes after it.
    pub last_event_id: Option<u64>,
}

/// The beginning of a prompt that other requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Equal for requests with the same shared parts.
    pub hash: u64,
    pub shared_tokens: u32,
}

/// The headers break the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidHeader {
    /// Header that is wrong.
    pub header: &'static str,
}
