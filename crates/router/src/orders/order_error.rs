use {mango_wire::Epoch, std::fmt};

/// Why an order was not confirmed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum OrderError {
    /// This host may not act on the engine under the order's epoch. Not sent.
    NotOwner,
    /// The deadline has passed. Not sent.
    DeadlinePassed,
    /// The engine ignores fencing numbers and the order is not convergent. Not sent.
    NeedsFencing,
    /// The engine has seen this higher fencing number. Not carried out.
    Fenced(Epoch),
    /// The engine refused the order or could not be reached. Not carried out.
    Refused(String),
    /// The order may have been carried out.
    Unknown(String),
}

impl OrderError {
    /// Value of the label `result` in metrics.
    pub(crate) fn result_label(&self) -> &'static str {
        match self {
            Self::NotOwner => "not_owner",
            Self::DeadlinePassed => "deadline",
            Self::NeedsFencing => "needs_fencing",
            Self::Fenced(_) => "fenced",
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
        }
    }
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotOwner => f.write_str("not the owner of the engine"),
            Self::DeadlinePassed => f.write_str("deadline passed"),
            Self::NeedsFencing => f.write_str("the engine does not check fencing numbers"),
            Self::Fenced(highest) => write!(f, "engine has seen fencing number {highest}"),
            Self::Refused(detail) => write!(f, "refused: {detail}"),
            Self::Unknown(detail) => write!(f, "may have been carried out: {detail}"),
        }
    }
}

impl std::error::Error for OrderError {}
