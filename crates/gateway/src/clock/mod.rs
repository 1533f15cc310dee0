mod boot_instant;
mod now;

pub(crate) use {boot_instant::BootInstant, now::Now};
