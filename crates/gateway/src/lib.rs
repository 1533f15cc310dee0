//! Request path of a router on a small host.
//!
//! One thread serves all connections of the process, one task each. What the
//! platform says and how it says it is behind two traits: `Protocol` (callers and
//! endpoints) and `RecordFeed` (configuration and endpoint records).

mod callers;
mod clock;
mod config;
mod dispatch;
mod endpoints;
mod followers;
mod http1;
mod peers;
mod placement;
mod retry;
mod server;
mod settings;
mod telemetry;

pub use {
    callers::{CallerRequest, InvalidHeader, PromptPrefix, Protocol},
    config::{
        ApiKey, CallerLimits, RequestKind, Route, RoutingConfig, Service, ServiceShare, Team,
    },
    dispatch::{EndpointRequest, ResponseMeta},
    endpoints::{EndpointId, EndpointRecord, EndpointState, LoadReport},
    followers::{FeedError, LogChanges, LogListing, Offset, RawRecord, RecordDecoder, RecordFeed},
    http1::{
        BodyDecoder, BodyFraming, ClientConnection, FramingError, HeadError, Header, Headers,
        RequestHead, ResponseHead,
    },
    peers::{HostRegistry, RegistryError},
    placement::{Candidate, Placement, PlacementRequest, choose_endpoint},
    retry::{AttemptHistory, NextStep, RetryBudget, RetryPolicy, SendOutcome, next_step},
    server::{PlatformAdapters, run},
    settings::{Bounds, GatewaySettings, load_settings},
};
