mod check;
mod load;
#[cfg(test)]
mod tests;

pub(crate) use {check::check_settings, load::load_settings};
