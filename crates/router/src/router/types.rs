use {
    super::authorities::EngineRights,
    crate::{admission::Admission, claims::Claims, dispatch::PermitReply},
};

/// Admission with the types that a router uses.
pub(crate) type AdmissionOfRouter = Admission<EngineRights, PermitReply>;
/// Claims with the types that a router uses.
pub(crate) type ClaimsOfRouter = Claims;
