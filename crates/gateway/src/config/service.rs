use std::rc::Rc;

/// A named group of endpoints that run the same requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    pub name: Rc<str>,
    /// Maximum number of connections that one endpoint accepts from all clients together.
    pub max_connections: u32,
}
