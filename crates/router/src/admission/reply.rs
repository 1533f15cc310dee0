use super::acquire_result::AcquireResult;

/// Receives the answer to one `Acquire`. Admission is generic over it, so that
/// queued requests need no boxed callbacks.
pub(crate) trait Reply: Send + 'static {
    /// Called exactly once, after the engine's lock is released.
    fn reply(self, result: AcquireResult);
}

impl<F: FnOnce(AcquireResult) + Send + 'static> Reply for F {
    fn reply(self, result: AcquireResult) {
        self(result);
    }
}
