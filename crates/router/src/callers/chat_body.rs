use {crate::dispatch::Refusal, bytes::Bytes, mango_wire::Reason, serde_json::Value};

/// Bytes of prompt text per token, from which the length of a prompt is estimated.
const BYTES_PER_TOKEN: usize = 4;

/// Body of a chat completion request.
#[derive(Debug)]
pub(crate) struct ChatBody {
    /// Body of the request to the engine, which always asks for a stream.
    pub(crate) engine_body: Bytes,
    /// Whether the caller asked for a stream.
    pub(crate) stream: bool,
    /// Whether the chat has earlier messages, whose prefix an engine may have cached.
    pub(crate) has_history: bool,
    /// Estimated length of the prompt.
    pub(crate) prompt_tokens: u32,
}

impl ChatBody {
    /// Parses a request body. A refusal names the field that is invalid.
    pub(crate) fn parse(body: &Bytes) -> Result<Self, Refusal> {
        let mut value: Value = serde_json::from_slice(body)
            .map_err(|e| bad_field("body", format!("not JSON: {e}")))?;
        let object = value.as_object_mut().ok_or_else(|| bad_field("body", "must be an object"))?;
        let messages = object
            .get("messages")
            .and_then(Value::as_array)
            .filter(|messages| !messages.is_empty())
            .ok_or_else(|| bad_field("messages", "must be a non-empty array"))?;
        let mut content_bytes = 0;
        for message in messages {
            let content = message.get("content").and_then(Value::as_str);
            let content =
                content.ok_or_else(|| bad_field("messages", "each must have a text content"))?;
            content_bytes += content.len();
        }
        let has_history = messages.len() > 1;
        let stream = match object.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad_field("stream", "must be true or false")),
        };
        let engine_body = if stream {
            body.clone()
        } else {
            object.insert("stream".to_owned(), Value::Bool(true));
            value.to_string().into()
        };
        let prompt_tokens = (content_bytes / BYTES_PER_TOKEN) as u32;
        Ok(Self { engine_body, stream, has_history, prompt_tokens })
    }
}

fn bad_field(field: &str, detail: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::BadBody, format!("{field}: {}", detail.into())).with_field(field)
}
