use {
    mango_wire::config::{ObjectKey, VersionedObject},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Answer to `GET /config`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigListing {
    /// Version in force.
    pub version: u64,
    /// Objects, ordered by kind and id.
    pub objects: Vec<VersionedObject>,
}

/// Answer to an accepted `POST /config`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangeReply {
    /// Id of the change.
    pub change_id: String,
    /// Version of the change.
    pub version: u64,
    /// Live members that have not confirmed the version; `None` if not waited for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members_pending: Option<Vec<MemberVersion>>,
}

/// Configuration version of one live member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberVersion {
    /// Host name.
    pub host_id: String,
    /// Version in force; `None` if the host did not answer.
    pub version: Option<u64>,
}

/// An object and the version of the change that wrote or deleted it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ObjectVersion {
    /// The object.
    pub object: ObjectKey,
    /// Version.
    pub version: u64,
}

/// The accepted change that a rejected one conflicts with.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PrecedingChange {
    /// Version of the change.
    pub version: u64,
    /// Id, while the change is in the history.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<String>,
    /// Author, while the change is in the history.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<String>,
}

/// Why a change was rejected.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Rejection {
    /// Object that the rejection is about; `None` if it is about the whole change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<ObjectKey>,
    /// Change that took precedence; `None` if the change itself is invalid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preceded_by: Option<PrecedingChange>,
    /// What is wrong.
    pub detail: String,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(object) = &self.object {
            write!(f, "{}/{}: ", object.kind, object.id)?;
        }
        f.write_str(&self.detail)?;
        let Some(preceding) = &self.preceded_by else { return Ok(()) };
        if let Some(change_id) = &preceding.change_id {
            write!(f, ", change {change_id}")?;
        }
        if let Some(author) = &preceding.author {
            write!(f, " of {author}")?;
        }
        Ok(())
    }
}

/// How a change was decided.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryOutcome {
    /// In force since its version.
    Accepted,
    /// Without effect.
    Rejected(Rejection),
}

/// A decided change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// Offset of the record; the version, if the change was accepted.
    pub offset: u64,
    /// Id of the change.
    pub change_id: String,
    /// Author of the change.
    pub author: String,
    /// Version that the change was made against.
    pub based_on: u64,
    /// Append time on the log, in milliseconds since 1970.
    pub at_ms: u64,
    /// Objects that the change creates or replaces.
    pub put: Vec<ObjectKey>,
    /// Objects that the change deletes.
    pub delete: Vec<ObjectKey>,
    /// Decision.
    pub outcome: HistoryOutcome,
}

/// Answer to `GET /history`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HistoryListing {
    /// Decided changes, newest first.
    pub changes: Vec<HistoryEntry>,
}

/// Answer to a request that was refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ApiError {
    /// Fixed name of the reason.
    pub reason: String,
    /// What happened and what to do.
    pub detail: String,
    /// Set when a change was rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejection: Option<Rejection>,
}

/// Where one piece of work may run, and why.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Explanation {
    /// Version in force.
    pub version: u64,
    /// Team id.
    pub team: String,
    /// Id of the kind of work.
    pub work: String,
    /// Service in the request path; `None` for model work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Unknown team or kind of work, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unknown: Option<ObjectKey>,
    /// Pools that the work may use, in order.
    pub pools: Vec<String>,
    /// Every route.
    pub routes: Vec<RouteExplanation>,
    /// Every pool that a route of this service leads to.
    pub pool_members: Vec<PoolExplanation>,
    /// Endpoints in the order in which this router would ask their owners now.
    #[serde(default)]
    pub placement: Vec<PlacementStep>,
}

/// One endpoint that a router would ask for, with what it knows of its load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementStep {
    /// Pool id.
    pub pool: String,
    /// Endpoint id.
    pub endpoint: String,
    /// When the owner is to grant: `if_warm`, `if_room` or `queue`.
    pub mode: String,
    /// Whether this is the first step that has room, by the loads known here.
    pub chosen: bool,
    /// Why the step is chosen or passed over.
    pub because: String,
    /// Host that admits work to the endpoint.
    pub owner: Option<String>,
}

/// Whether a route admits the work.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RouteExplanation {
    /// Route id.
    pub route: String,
    /// Pool it leads to.
    pub pool: String,
    /// Whether it admits the work.
    pub admits: bool,
    /// The terms that were evaluated; the last one decided if `admits` is false.
    pub terms: Vec<TermExplanation>,
}

/// One evaluated condition.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TermExplanation {
    /// Field that holds the condition.
    pub field: String,
    /// Condition.
    pub term: String,
    /// Value found for its key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found: Option<String>,
    /// Whether it holds.
    pub holds: bool,
}

/// Endpoints inside and outside of a pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PoolExplanation {
    /// Pool id.
    pub pool: String,
    /// Selector over endpoint labels.
    pub selector: String,
    /// Its endpoints, with the terms that let them in.
    pub endpoints: Vec<EndpointExplanation>,
    /// Endpoints outside, each with the term that kept it out. The list is bounded.
    pub outside: Vec<EndpointExplanation>,
    /// Endpoints outside that are not listed.
    pub outside_omitted: usize,
}

/// Why an endpoint is inside or outside of a pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointExplanation {
    /// Endpoint id.
    pub endpoint: String,
    /// Evaluated terms.
    pub terms: Vec<TermExplanation>,
}
