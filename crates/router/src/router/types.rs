use {
    super::authorities::EngineRights,
    crate::{
        admission::Admission, claims::ClaimService, dispatch::PermitReply, orders::OrderService,
    },
};

/// `Admission` with the types that a router uses.
pub(crate) type RouterAdmission = Admission<EngineRights, PermitReply>;
/// Claim service of a router.
pub(crate) type RouterClaims = ClaimService;
/// `OrderService` with the types that a router uses.
pub(crate) type RouterOrders = OrderService<EngineRights>;
