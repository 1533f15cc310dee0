mod line_format;
mod quoted;
#[cfg(test)]
mod tests;

pub(crate) use {line_format::start_logging, quoted::quoted};
