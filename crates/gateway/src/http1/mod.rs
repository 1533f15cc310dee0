mod body_decoder;
mod body_framing;
mod client_connection;
mod connection;
mod head_error;
mod headers;
mod peer_watch;
#[cfg(test)]
mod peer_watch_tests;
mod request_head;
mod response_head;
mod send_state;
#[cfg(test)]
mod send_state_tests;
mod socket_diagnostics;
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
    connection::{Connection, read_into},
    peer_watch::PeerWatch,
};
