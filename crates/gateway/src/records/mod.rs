//! The logs of the store, as this host reads them and passes them on.

mod continuity;
mod feed_comparison;
mod feed_kind;
mod record_feed;

pub use record_feed::{Era, FeedError, LogChanges, LogListing, Offset, RawRecord, RecordFeed};
pub(crate) use {continuity::Continuity, feed_comparison::FeedComparison, feed_kind::FeedKind};
