use {
    crate::engine::{AnswerText, ChatRequest},
    parking_lot::{Condvar, Mutex},
    std::time::{Duration, Instant},
};

/// How a job ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum JobEnd {
    Finished,
    Cancelled,
}

/// Progress of a job, which its connections wait for.
#[derive(Clone, Copy, Default)]
pub(crate) struct Progress {
    /// Number of tokens of the answer so far, including those of a continued answer.
    pub(crate) generated: u32,
    pub(crate) cached_tokens: u32,
    pub(crate) end: Option<JobEnd>,
    /// Number of connections.
    pub(crate) connections: u32,
    /// How often the last connection was lost before the end.
    pub(crate) abandonments: u64,
}

/// Chat completion request that an engine admitted.
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) chat: Option<String>,
    pub(crate) text: AnswerText,
    pub(crate) prompt_tokens: u32,
    /// Number of tokens of the complete answer.
    pub(crate) length: u32,
    /// Index of the first token to generate; above 0 if an answer is continued.
    pub(crate) first_index: u32,
    pub(crate) admitted: Instant,
    pub(crate) progress: Mutex<Progress>,
    // separate, so that a token does not wake connections that wait for the end
    token: Condvar,
    ended: Condvar,
}

impl Job {
    pub(crate) fn new(id: String, chat: Option<String>, request: &ChatRequest) -> Self {
        Self {
            id,
            chat,
            text: AnswerText::new(request.last_user_message()),
            prompt_tokens: request.prompt_tokens(),
            length: request.length(),
            admitted: Instant::now(),
            first_index: request.first_index(),
            progress: Mutex::new(Progress {
                generated: request.first_index(),
                ..Progress::default()
            }),
            token: Condvar::new(),
            ended: Condvar::new(),
        }
    }

    pub(crate) fn progress(&self) -> Progress {
        *self.progress.lock()
    }

    /// Counts a generated token and returns the number so far.
    pub(crate) fn add_token(&self) -> u32 {
        let mut progress = self.progress.lock();
        progress.generated += 1;
        let generated = progress.generated;
        drop(progress);
        // `end` notifies the connections of the last token
        if generated < self.length {
            self.token.notify_all();
        }
        generated
    }

    pub(crate) fn end(&self, end: JobEnd) {
        self.progress.lock().end = Some(end);
        self.wake();
    }

    /// Wakes all connections.
    pub(crate) fn wake(&self) {
        self.token.notify_all();
        self.ended.notify_all();
    }

    /// Waits until more than `tokens` tokens are generated or the job has ended, at
    /// most for `timeout`. May return earlier.
    pub(crate) fn wait_token(&self, tokens: u32, timeout: Duration) -> Progress {
        let mut progress = self.progress.lock();
        if progress.generated <= tokens && progress.end.is_none() {
            self.token.wait_for(&mut progress, timeout);
        }
        *progress
    }

    /// Waits until the job has ended, at most for `timeout`. May return earlier.
    pub(crate) fn wait_end(&self, timeout: Duration) -> Progress {
        let mut progress = self.progress.lock();
        if progress.end.is_none() {
            self.ended.wait_for(&mut progress, timeout);
        }
        *progress
    }

    /// JSON object `usage` of the response.
    pub(crate) fn usage_json(&self, progress: &Progress) -> String {
        format!(
            r#"{{"prompt_tokens":{},"completion_tokens":{},"cached_tokens":{}}}"#,
            self.prompt_tokens, progress.generated, progress.cached_tokens
        )
    }
}
