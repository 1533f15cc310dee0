use {
    super::caller_request::{CallerRequest, InvalidHeader},
    crate::{
        dispatch::{EndpointRequest, ResponseMeta},
        http1::{RequestHead, ResponseHead},
    },
};

/// Mapping between the HTTP headers of the platform and the gateway's types.
pub trait Protocol: 'static {
    /// Path of the readiness probe, which the load balancer uses to decide whether to open new
    /// connections.
    const READY_PATH: &'static str;

    /// Header with the ID of a request; the router's own responses return it.
    const REQUEST_ID_HEADER: &'static str;

    /// Parses the headers of a caller's request.
    fn parse_caller_request(&self, head: &RequestHead) -> Result<CallerRequest, InvalidHeader>;

    /// Writes the head of a request to an endpoint, including the empty line at its end.
    fn write_endpoint_head(&self, request: &EndpointRequest<'_>, output: &mut Vec<u8>);

    /// Parses the headers of an endpoint's response.
    fn parse_response_meta(&self, head: &ResponseHead) -> ResponseMeta;
}
