mod boot_instant;

pub(crate) use boot_instant::BootInstant;
