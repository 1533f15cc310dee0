use std::rc::Rc;

/// Secret that a caller sends to identify its team.
pub type ApiKey = Box<str>;

/// Customer whose callers identify themselves by keys.
#[derive(Clone, Debug)]
pub struct Team {
    pub name: Rc<str>,
    pub api_keys: Vec<ApiKey>,
    /// Goes before the priority of a route.
    pub priority: Option<u8>,
}
