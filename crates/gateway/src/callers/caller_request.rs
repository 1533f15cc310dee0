use std::time::Duration;

/// Parsed values of the caller's headers that the router uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerRequest {
    pub id: Box<str>,
    /// How long the caller waits for the response; `None` if the caller sets no limit.
    pub time_left: Option<Duration>,
    pub api_key: Option<Box<str>>,
    pub prefix: Option<PromptPrefix>,
    /// Parts of the prompt that it shares with other requests, in prompt order.
    pub shared_parts: Box<[PromptPartId]>,
    /// ID of the last event of a stream that the caller has received; the stream resumes
    /// after it.
    pub last_event_id: Option<u64>,
    /// ID of the request that brought the first event of that stream.
    pub resumed_request: Option<Box<str>>,
}

impl CallerRequest {
    /// ID of the request that began the stream that this one goes on with, or its own ID if it goes on
    /// with none; `None` if the caller does not say.
    pub(crate) fn first_request(&self) -> Option<&str> {
        match self.last_event_id {
            None => Some(&self.id),
            Some(_) => self.resumed_request.as_deref(),
        }
    }
}

/// Identifies a part of prompts: a hash of the name that callers give it.
pub type PromptPartId = u64;

/// The part at the beginning of a prompt that is shared with other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the shared part; requests with the same prefix have the same hash.
    pub hash: u64,
    /// Length of the shared part, in tokens.
    pub shared_tokens: u32,
}

/// A header of a request is missing or has an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidHeader {
    /// Name of the header.
    pub header: &'static str,
}
