use std::rc::Rc;

/// Secret with which a caller authenticates as a team.
pub type ApiKey = Box<str>;

/// A customer whose callers authenticate with API keys.
#[derive(Clone, Debug)]
pub struct Team {
    pub name: Rc<str>,
    pub api_keys: Vec<ApiKey>,
    /// Overrides the priority of the route.
    pub priority: Option<u8>,
}
