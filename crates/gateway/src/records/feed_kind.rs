/// The logs of the store that a relay serves to its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum FeedKind {
    Config,
    Endpoints,
}
