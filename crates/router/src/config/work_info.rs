use {
    super::key_map::Keyed,
    mango_wire::{
        WorkKey,
        config::{Work, WorkClass},
        work_key,
    },
    std::collections::HashMap,
};

/// Compiled configuration of a kind of work.
#[derive(Clone, Debug)]
pub(crate) struct WorkInfo {
    pub(crate) key: WorkKey,
    pub(crate) id: String,
    pub(crate) labels: HashMap<String, String>,
    /// Whether a request may run more than once.
    pub(crate) idempotent: bool,
    /// Urgency of the requests.
    pub(crate) class: WorkClass,
    /// Number of tokens that a request is expected to generate.
    pub(crate) expected_tokens: u32,
    /// Time limit of a request that sets no deadline.
    pub(crate) deadline_ms: u32,
    pub(crate) version: u64,
}

impl WorkInfo {
    pub(crate) fn new(work: Work, version: u64) -> Self {
        Self {
            key: work_key(&work.id),
            id: work.id,
            labels: work.labels,
            idempotent: work.idempotent,
            class: work.class,
            expected_tokens: work.expected_tokens,
            deadline_ms: work.deadline_ms,
            version,
        }
    }

    /// Value of a selector key: `work.id` or the name of a label.
    pub(crate) fn label(&self, key: &str) -> Option<&str> {
        match key {
            "work.id" => Some(&self.id),
            _ => self.labels.get(key).map(String::as_str),
        }
    }

    /// Converts back to the configuration object.
    pub(crate) fn to_work(&self) -> Work {
        Work {
            class: self.class,
            deadline_ms: self.deadline_ms,
            expected_tokens: self.expected_tokens,
            id: self.id.clone(),
            idempotent: self.idempotent,
            labels: self.labels.clone(),
        }
    }
}

impl Keyed for WorkInfo {
    fn key(&self) -> u32 {
        self.key
    }

    fn id(&self) -> &str {
        &self.id
    }

    fn version(&self) -> u64 {
        self.version
    }
}
