use {
    super::authorities::EngineRights,
    crate::{
        admission::Admission, claims::ClaimService, dispatch::PermitReply, orders::OrderService,
    },
};

/// Admission with the types that a router uses.
pub(crate) type AdmissionOfRouter = Admission<EngineRights, PermitReply>;
/// Claims with the types that a router uses.
pub(crate) type ClaimsOfRouter = ClaimService;
/// OrderService with the types that a router uses.
pub(crate) type OrdersOfRouter = OrderService<EngineRights>;
