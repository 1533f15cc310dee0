use {crate::endpoints::LoadReport, std::time::Duration};

/// What an endpoint's headers say, apart from the status line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMeta {
    /// Request that the answer belongs to.
    pub request_id: Option<Box<str>>,
    /// The endpoint vouches for the answer.
    pub is_signed: bool,
    /// The endpoint says that it did not run the request.
    pub is_not_run: bool,
    /// Another endpoint has the address now.
    pub is_misdirected: bool,
    /// The body was changed on its way.
    pub is_encoded: bool,
    pub load: Option<LoadReport>,
    /// How long the endpoint keeps an idle connection.
    pub keep_alive: Option<Duration>,
}
