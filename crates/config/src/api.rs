use {
    mango_wire::config::{ObjectKey, VersionedObject},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Response body of `GET /config`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigListing {
    /// Configuration version in force.
    pub version: u64,
    /// Objects, ordered by kind and id.
    pub objects: Vec<VersionedObject>,
}

/// Response body of an accepted `POST /config`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangeReply {
    /// Id of the change.
    pub change_id: String,
    /// Configuration version that the change created.
    pub version: u64,
    /// Live hosts that have not confirmed the version; `None` if the request did not
    /// wait for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members_pending: Option<Vec<MemberVersion>>,
}

/// Configuration version that one live host of the fleet uses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberVersion {
    /// Id of the host.
    pub host_id: String,
    /// Version in force; `None` if the host did not answer.
    pub version: Option<u64>,
}

/// An object and the version of the change that wrote or deleted it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ObjectVersion {
    /// Kind and id of the object.
    pub object: ObjectKey,
    /// Version of that change.
    pub version: u64,
}

/// The accepted change that a rejected one conflicts with.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PrecedingChange {
    /// Version of the change.
    pub version: u64,
    /// Id of the change; `None` if it is no longer in the history.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<String>,
    /// Author of the change; `None` if it is no longer in the history.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<String>,
}

/// Why a change was rejected.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Rejection {
    /// Object that caused the rejection; `None` if it concerns the whole change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<ObjectKey>,
    /// Conflicting change that was accepted earlier; `None` if the change itself is
    /// invalid or the conflicting one is no longer stored.
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

/// Whether a change was accepted or rejected.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryOutcome {
    /// Applied to the configuration.
    Accepted,
    /// Not applied.
    Rejected(Rejection),
}

/// A change that was read from the log and accepted or rejected.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// Log offset of the change; if accepted, also the version it created.
    pub offset: u64,
    /// Id of the change.
    pub change_id: String,
    /// Author of the change.
    pub author: String,
    /// Configuration version that the change was made against.
    pub based_on: u64,
    /// Time at which the change was appended to the log, in milliseconds since 1970.
    pub at_ms: u64,
    /// Objects that the change creates or replaces.
    pub put: Vec<ObjectKey>,
    /// Objects that the change deletes.
    pub delete: Vec<ObjectKey>,
    /// Whether the change was accepted or rejected.
    pub outcome: HistoryOutcome,
}

/// Response body of `GET /history`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HistoryListing {
    /// Accepted and rejected changes, newest first.
    pub changes: Vec<HistoryEntry>,
}

/// Response body of a request that was refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ApiError {
    /// Machine-readable name of the reason.
    pub reason: String,
    /// What happened and what to do, for the operator.
    pub detail: String,
    /// Details of a rejected change; `None` for other errors.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejection: Option<Rejection>,
}

/// Routes, pools and endpoints that work of one kind from one team may use, with
/// the conditions that decided.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Explanation {
    /// Configuration version in force.
    pub version: u64,
    /// Team id.
    pub team: String,
    /// Id of the kind of work.
    pub work: String,
    /// Service in the request path; `None` for model work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Team or kind of work that does not exist; the lists are empty if it is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unknown: Option<ObjectKey>,
    /// Ids of the pools that the work may use, in the order of the routes' ids.
    pub pools: Vec<String>,
    /// All routes, each with the evaluation of its conditions.
    pub routes: Vec<RouteExplanation>,
    /// Members of every pool that a route of this service leads to.
    pub pool_members: Vec<PoolExplanation>,
    /// Endpoints in the order in which this router would currently request a permit
    /// from their owners.
    #[serde(default)]
    pub placement: Vec<PlacementStep>,
}

/// One endpoint that a router would request a permit for, judged by the load last
/// reported to this router.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementStep {
    /// Pool id.
    pub pool: String,
    /// Endpoint id.
    pub endpoint: String,
    /// When the owner is to grant the permit: `if_warm`, `if_room` or `queue`.
    pub mode: String,
    /// Whether this is the first step that would be used: it has room or may queue,
    /// or its load is unknown to this router.
    pub chosen: bool,
    /// Why the step is chosen or skipped.
    pub because: String,
    /// Id of the host that owns the endpoint and grants its permits, if any.
    pub owner: Option<String>,
}

/// Whether a route admits the work.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RouteExplanation {
    /// Route id.
    pub route: String,
    /// Id of the pool that the route leads to.
    pub pool: String,
    /// Whether the route admits the work.
    pub admits: bool,
    /// The terms that were evaluated; the last one decided if `admits` is false.
    pub terms: Vec<TermExplanation>,
}

/// One evaluated condition of a route or pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TermExplanation {
    /// Field of the route or pool that contains the condition.
    pub field: String,
    /// Text of the condition.
    pub term: String,
    /// Value that the condition was evaluated on; `None` if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found: Option<String>,
    /// Whether the condition holds.
    pub holds: bool,
}

/// Endpoints inside and outside of a pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PoolExplanation {
    /// Pool id.
    pub pool: String,
    /// Selector over endpoint labels.
    pub selector: String,
    /// Endpoints inside the pool, each with the terms that it meets.
    pub endpoints: Vec<EndpointExplanation>,
    /// Endpoints outside of the pool, each with the term that excludes it. The list
    /// is limited in length.
    pub outside: Vec<EndpointExplanation>,
    /// Number of endpoints outside of the pool that `outside` leaves out.
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
