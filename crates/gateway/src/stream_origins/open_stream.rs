use {
    super::{shared_origins::SharedOrigins, stream_key::StreamKey},
    std::rc::Rc,
};

/// A stream that its caller does not have to the end yet. Dropping it means that the caller may take
/// the stream up.
pub(crate) struct OpenStream {
    origins: Rc<SharedOrigins>,
    service: Rc<str>,
    stream: StreamKey,
    is_complete: bool,
}

impl OpenStream {
    pub(super) fn new(
        origins: Rc<SharedOrigins>,
        service: Rc<str>,
        stream: StreamKey,
    ) -> OpenStream {
        OpenStream { origins, service, stream, is_complete: false }
    }

    /// Records that the caller has the whole stream.
    pub(crate) fn complete(mut self) {
        self.is_complete = true;
        self.origins.record_complete(self.stream);
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        if !self.is_complete {
            self.origins.record_broken(&self.service);
        }
    }
}
