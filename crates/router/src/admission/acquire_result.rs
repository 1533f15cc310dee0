use mango_wire::peer::{Grant, Refuse};

/// Answer to an `Acquire`.
#[derive(Clone, Debug)]
pub(crate) enum AcquireResult {
    Granted(Grant),
    Refused(Refuse),
}
