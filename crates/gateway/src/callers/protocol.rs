use {
    super::caller_request::{CallerRequest, InvalidHeader},
    crate::{
        dispatch::{EndpointRequest, ResponseMeta},
        http1::{RequestHead, ResponseHead},
    },
};

/// How callers and endpoints say things on the wire.
pub trait Protocol: 'static {
    /// Path that the balancer asks to learn whether new connections are wanted.
    const READY_PATH: &'static str;

    /// Header of a request's id, which own answers repeat.
    const REQUEST_ID_HEADER: &'static str;

    fn parse_caller_request(&self, head: &RequestHead) -> Result<CallerRequest, InvalidHeader>;

    /// Writes the head of a request to an endpoint, with its empty line.
    fn write_endpoint_head(&self, request: &EndpointRequest<'_>, output: &mut Vec<u8>);

    fn parse_response_meta(&self, head: &ResponseHead) -> ResponseMeta;
}
