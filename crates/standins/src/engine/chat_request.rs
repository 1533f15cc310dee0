use serde::Deserialize;

const DEFAULT_TOKENS: u32 = 32;
const CHARACTERS_PER_TOKEN: usize = 4;

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: String,
}

#[derive(Deserialize)]
struct Metadata {
    length: Option<u32>,
}

/// Body of a chat completion request.
#[derive(Deserialize)]
pub(crate) struct ChatRequest {
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
    metadata: Option<Metadata>,
    /// Number of tokens in the last message if that is an answer to be continued.
    continue_from: Option<u32>,
}

impl ChatRequest {
    /// Number of tokens of the complete answer, at least one.
    pub(crate) fn length(&self) -> u32 {
        let length = self.metadata.as_ref().and_then(|m| m.length);
        length.or(self.max_tokens).unwrap_or(DEFAULT_TOKENS).max(1)
    }

    /// Index of the first token to generate.
    pub(crate) fn first_index(&self) -> u32 {
        self.continue_from.unwrap_or(0).min(self.length() - 1)
    }

    pub(crate) fn prompt_tokens(&self) -> u32 {
        let characters: usize = self.messages.iter().map(|m| m.content.chars().count()).sum();
        (characters / CHARACTERS_PER_TOKEN) as u32
    }

    /// Last message with the role `user`, or the last one if there is none.
    pub(crate) fn last_user_message(&self) -> &str {
        let user = self.messages.iter().rfind(|m| m.role == "user");
        user.or(self.messages.last()).map_or("", |m| &m.content)
    }
}
