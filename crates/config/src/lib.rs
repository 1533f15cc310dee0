//! Configuration code shared by the router and the operator command line:
//! label selectors, validation of objects, reading of configuration files, and
//! the body types of the operators' HTTP API.

mod api;
mod check;
mod files;
mod object;
mod selector;
mod selector_parser;

pub use {
    api::{
        ApiError, ChangeReply, ConfigListing, EndpointExplanation, Explanation, HistoryEntry,
        HistoryListing, HistoryOutcome, MemberVersion, ObjectVersion, PlacementStep,
        PoolExplanation, PrecedingChange, Rejection, RouteExplanation, TermExplanation,
    },
    check::{Problem, check_object, check_objects},
    files::{ConfigFile, parse_objects, read_objects},
    object::{ObjectName, kind_and_id, object_name},
    selector::{Selector, SelectorError, Term, TermRule},
};
