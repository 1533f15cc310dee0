use super::acquire_result::AcquireResult;

/// Takes the answer to one `Acquire`. A concrete type keeps the queue free of boxes.
pub(crate) trait Reply: Send + 'static {
    /// Called once, outside the engine's lock.
    fn reply(self, result: AcquireResult);
}

impl<F: FnOnce(AcquireResult) + Send + 'static> Reply for F {
    fn reply(self, result: AcquireResult) {
        self(result);
    }
}
