use std::rc::Rc;

/// What a record of the operators is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorKey {
    /// The routing configuration.
    Config,
    /// The evacuation of an availability zone, which lasts until the record is removed.
    Evacuation { zone: Rc<str> },
}
