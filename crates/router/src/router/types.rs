use {
    super::authorities::EngineRights,
    crate::{admission::Admission, claims::Claims, dispatch::PermitReply, orders::Orders},
};

/// Admission with the types that a router uses.
pub(crate) type AdmissionOfRouter = Admission<EngineRights, PermitReply>;
/// Claims with the types that a router uses.
pub(crate) type ClaimsOfRouter = Claims;
/// Orders with the types that a router uses.
pub(crate) type OrdersOfRouter = Orders<EngineRights>;
