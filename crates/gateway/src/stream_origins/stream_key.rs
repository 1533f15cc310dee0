use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Identifies a stream: a hash of its service and of the request that brought its first event.
pub(crate) type StreamKey = u64;

pub(crate) fn stream_key(service: &str, request_id: &str) -> StreamKey {
    xxh3_64_with_seed(request_id.as_bytes(), xxh3_64(service.as_bytes()))
}
