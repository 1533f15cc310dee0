use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

// Each token is three symbols and a space. Prompts count one token per four characters,
// so an answer has the same number of tokens in the prompt of the chat's next request.
const SYMBOLS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";
const TOKEN_BYTES: usize = 4;

/// Text of the answer to a message. Each token is computed from a hash of the message and
/// the index of the token.
#[derive(Clone, Copy)]
pub(crate) struct AnswerText {
    seed: u64,
}

impl AnswerText {
    pub(crate) fn new(message: &str) -> Self {
        Self { seed: xxh3_64(message.as_bytes()) }
    }

    pub(crate) fn push_token(self, index: u32, text: &mut String) {
        let mut hash = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        for _ in 1..TOKEN_BYTES {
            text.push(char::from(SYMBOLS[(hash & 31) as usize]));
            hash >>= 5;
        }
        text.push(' ');
    }

    pub(crate) fn answer(self, tokens: u32) -> String {
        let mut text = String::with_capacity(tokens as usize * TOKEN_BYTES);
        for index in 0..tokens {
            self.push_token(index, &mut text);
        }
        text
    }
}

/// Token at an index of the answer to a chat whose last user message is `message`.
pub fn expected_token(message: &str, index: u32) -> String {
    let mut text = String::with_capacity(TOKEN_BYTES);
    AnswerText::new(message).push_token(index, &mut text);
    text
}

/// First `tokens` tokens of the answer to a chat whose last user message is `message`.
pub fn expected_answer(message: &str, tokens: u32) -> String {
    AnswerText::new(message).answer(tokens)
}
