mod announcer;
mod followed_relay;
mod gossip_task;
mod host_registry;
mod host_table;
mod load_sums;
mod peer_state;
mod published_feed;
mod relay_client;
mod relay_election;
#[cfg(test)]
mod tests;

pub use host_registry::{HostRegistry, RegistryError};
pub(crate) use {
    announcer::announce,
    followed_relay::RelayedFeedStatus,
    gossip_task::{receive_gossip, send_gossip},
    load_sums::endpoint_hash,
    peer_state::{FeedKind, MaxConfirmationAges, PeerState},
    published_feed::{PublishedFeed, encode_changes},
    relay_client::RelayClient,
};
