//! Configuration rules that the router and the operator command line share:
//! selectors, checks of objects, configuration files, and the types of the
//! operators' HTTP interface.

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
    object::{ObjectName, object_name, object_name_of},
    selector::{Selector, SelectorError, Term, TermRule},
};
