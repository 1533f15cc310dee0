mod byte_counting_stream;
mod call_error;
mod frame_stream;
mod handshake;
mod link;
mod link_error;
mod message_kind;
mod outbox;
mod peer_handler;
mod peer_metrics;
mod peer_net;
mod pending_call;
mod replier;
#[cfg(test)]
mod tests;

pub(crate) use {
    call_error::CallError, peer_handler::PeerHandler, peer_net::PeerNet, pending_call::PendingCall,
    replier::Replier,
};
