use {crate::endpoints::LoadReport, std::time::Duration};

/// Metadata of an endpoint's response, from its status and headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMeta {
    /// ID of the request that the response belongs to.
    pub request_id: Option<Box<str>>,
    /// The response has the endpoint's signature.
    pub is_signed: bool,
    /// The endpoint reports that it did not run the request.
    pub is_not_run: bool,
    /// The address now belongs to another endpoint.
    pub is_misdirected: bool,
    /// The endpoint says that it is about to stop.
    pub is_leaving: bool,
    /// For how long the sender wants no requests, if the response says so.
    pub retry_after: Option<Duration>,
    /// The body has a content encoding, which only an intermediary would have added.
    pub is_encoded: bool,
    /// Load of the endpoint, if the response reports it.
    pub load: Option<LoadReport>,
    /// How long the endpoint keeps an idle connection.
    pub keep_alive: Option<Duration>,
}
