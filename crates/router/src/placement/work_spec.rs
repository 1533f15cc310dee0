use mango_wire::{WorkKey, config::WorkClass};

/// Class and expected length of a kind of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WorkSpec {
    pub(crate) key: WorkKey,
    pub(crate) class: WorkClass,
    /// Expected number of generated tokens per request until lengths were measured.
    pub(crate) expected_tokens: u32,
}
