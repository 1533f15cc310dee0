//! Gateway: a router for small hosts that forwards callers' requests to endpoints.
//!
//! A single thread serves all connections of the process, with one task per connection. Four
//! traits abstract from the platform: `Protocol` defines the headers of callers and endpoints,
//! `RecordFeed` reads the logs with the configuration and the endpoint records,
//! `HostRegistry` publishes the addresses of the fleet's hosts, and `OriginStore` keeps the
//! software versions at which streams began.
//!
//! The store is the platform's service that holds these logs. The peers of a host are the
//! other hosts of the fleet; in each zone one host, the relay, reads the store for the others.

mod blocklist;
mod callers;
mod clock;
mod config;
mod dispatch;
mod endpoints;
mod followers;
mod http1;
mod memory;
mod peers;
mod placement;
mod queueing;
mod records;
mod retry;
mod server;
mod settings;
mod statistics;
mod stream_origins;
mod telemetry;

pub use {
    callers::{CallerRequest, InvalidHeader, PromptPartId, PromptPrefix, Protocol},
    config::{
        ApiKey, CallerLimits, OperatorKey, RequestKind, Route, RoutingConfig, Service,
        ServiceShare, Team,
    },
    dispatch::{EndpointRequest, ResponseMeta},
    endpoints::{EndpointId, EndpointRecord, EndpointState, LoadReport},
    followers::{OperatorRecords, RecordDecoder},
    http1::{
        BodyDecoder, BodyFraming, ClientConnection, FramingError, HeadError, Header, Headers,
        RequestHead, ResponseHead,
    },
    peers::{HostListing, HostRegistry, RegistryError},
    placement::{Candidate, Placement, PlacementRequest, choose_endpoint},
    records::{Era, FeedError, LogChanges, LogListing, Offset, RawRecord, RecordFeed},
    retry::{AttemptHistory, NextStep, RetryBudget, RetryPolicy, SendOutcome, next_step},
    server::{OriginStores, PlatformAdapters, run},
    settings::{Activation, Bounds, GatewaySettings, OverloadSettings, load_settings},
    stream_origins::{
        ConditionalAppend, NamedVersion, OriginBatch, OriginChanges, OriginStore, SoftwareVersion,
        StreamOrigin, VersionListing, VersionRecord,
    },
};
