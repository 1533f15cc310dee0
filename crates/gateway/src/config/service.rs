use std::rc::Rc;

/// Endpoints with a common name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    pub name: Rc<str>,
    /// Most connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
}
