use {super::BootInstant, std::time::Instant};

/// One point in time on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Now {
    pub(crate) instant: Instant,
    pub(crate) boot: BootInstant,
}

impl Now {
    pub(crate) fn read() -> Now {
        Now { instant: Instant::now(), boot: BootInstant::now() }
    }
}
