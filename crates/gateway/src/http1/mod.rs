mod body_decoder;
mod body_framing;
mod client_connection;
mod connection;
mod head_error;
mod headers;
mod request_head;
mod response_head;
#[cfg(test)]
mod tests;

pub use {
    body_decoder::{BodyDecoder, FramingError},
    body_framing::BodyFraming,
    client_connection::ClientConnection,
    head_error::HeadError,
    headers::{Header, Headers},
    request_head::RequestHead,
    response_head::ResponseHead,
};
pub(crate) use {
    body_framing::allows_body,
    client_connection::connect,
    connection::{Connection, read_into, set_socket_options},
};
