mod config_follower;
mod endpoint_follower;
mod feed_health;
mod record_feed;

pub(crate) use {config_follower::follow_config, endpoint_follower::follow_endpoints};
pub use record_feed::{Changes, FeedError, Newest, Offset, Record, RecordFeed};
