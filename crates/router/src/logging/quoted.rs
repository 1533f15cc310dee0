use std::fmt::{self, Display, Write};

/// Formats a value of a `key=value` line. It is quoted if it is empty or contains
/// white space, quotes, `=`, backslashes or control characters.
pub(crate) fn quoted<T: Display>(value: T) -> impl Display {
    Quoted(value)
}

struct Quoted<T>(T);

impl<T: Display> Display for Quoted<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let plain =
            |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\');
        if !text.is_empty() && text.chars().all(plain) {
            return f.write_str(&text);
        }
        f.write_char('"')?;
        for c in text.chars() {
            match c {
                '"' | '\\' => write!(f, "\\{c}")?,
                '\n' => f.write_str("\\n")?,
                c if c.is_control() => write!(f, "{}", c.escape_unicode())?,
                c => f.write_char(c)?,
            }
        }
        f.write_char('"')
    }
}
