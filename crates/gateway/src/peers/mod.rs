//! Exchange between the hosts of the fleet, each of which runs this router.
//!
//! Hosts exchange loads and uses of prompt prefixes by gossip over UDP. One host per zone,
//! the relay, reads the logs of the store and serves their records to the others over HTTP.
//! The confirmation of a log is the last time at which it was known to hold no newer records.

mod announcer;
mod changes_codec;
mod departure_reports;
mod fleet_loads;
mod fleet_size;
mod followed_relay;
mod gossip_task;
mod host_registry;
mod host_table;
mod load_changes;
#[cfg(test)]
mod load_changes_tests;
mod load_sums;
mod other_loads;
mod peer_state;
mod prefix_uses;
mod published_feed;
mod published_record;
mod relay_client;
mod relay_election;
mod relay_role;
mod report_clock;
mod store_turn;
#[cfg(test)]
mod tests;

pub use host_registry::{HostListing, HostRegistry, RegistryError};
pub(crate) use {
    announcer::announce,
    followed_relay::RelayedFeedStatus,
    gossip_task::{Gossip, receive_gossip, send_gossip},
    peer_state::{MaxConfirmationAges, PeerState},
    published_feed::{PublishedFeed, encode_changes},
    relay_client::RelayClient,
};
