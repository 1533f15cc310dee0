use {
    super::authorities::EngineRights,
    crate::{admission::Admission, claims::ClaimService, dispatch::PermitReply, orders::Orders},
};

/// Admission with the types that a router uses.
pub(crate) type AdmissionOfRouter = Admission<EngineRights, PermitReply>;
/// Claims with the types that a router uses.
pub(crate) type ClaimsOfRouter = ClaimService;
/// Orders with the types that a router uses.
pub(crate) type OrdersOfRouter = Orders<EngineRights>;
