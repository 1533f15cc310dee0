/// Availability of a service of the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// Requests are served.
    #[default]
    None,
    /// Requests are refused with 503 and have no effect.
    Refuse,
    /// Requests wait until the outage ends and are then served.
    Hang,
}
