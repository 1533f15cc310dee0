use {
    crate::selector_parser::Parser,
    std::{fmt, str::FromStr},
};

/// Error from parsing a selector.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SelectorError {
    /// Position of the error, counted in characters from 1.
    pub position: usize,
    /// What was expected and what was found, or which limit was exceeded.
    pub detail: String,
}

impl fmt::Display for SelectorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "position {}: {}", self.position, self.detail)
    }
}

impl std::error::Error for SelectorError {}

/// Requirement that a term places on the value of its label key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TermRule {
    /// The key is present with one of the values.
    In(Vec<String>),
    /// The key is absent or has none of the values.
    NotIn(Vec<String>),
    /// The key is present.
    Exists,
    /// The key is absent.
    Absent,
}

/// One condition of a selector on one label.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Term {
    /// Label key.
    pub key: String,
    /// Requirement on the value of the key.
    pub rule: TermRule,
}

impl Term {
    /// Returns whether the term holds if its key has this value; `None` if the key
    /// is absent.
    pub fn holds(&self, value: Option<&str>) -> bool {
        match (&self.rule, value) {
            (TermRule::In(values), Some(value)) => values.iter().any(|v| v == value),
            (TermRule::In(_), None) => false,
            (TermRule::NotIn(values), Some(value)) => values.iter().all(|v| v != value),
            (TermRule::NotIn(_), None) => true,
            (TermRule::Exists, value) => value.is_some(),
            (TermRule::Absent, value) => value.is_none(),
        }
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        match &self.rule {
            TermRule::In(values) if values.len() == 1 => write!(f, "{key}={}", values[0]),
            TermRule::In(values) => write!(f, "{key} in ({})", values.join(",")),
            TermRule::NotIn(values) if values.len() == 1 => write!(f, "{key}!={}", values[0]),
            TermRule::NotIn(values) => write!(f, "{key} notin ({})", values.join(",")),
            TermRule::Exists => write!(f, "{key}"),
            TermRule::Absent => write!(f, "!{key}"),
        }
    }
}

/// Parsed selector over labels. It matches if all its terms hold; an empty
/// selector matches everything.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Selector {
    terms: Vec<Term>,
}

impl Selector {
    /// Longest text of a selector, in bytes.
    pub const MAX_BYTES: usize = 4096;

    /// Returns the terms in the order in which they were written.
    pub fn terms(&self) -> &[Term] {
        &self.terms
    }

    /// Returns whether all terms hold. `lookup` returns the value of a label key.
    pub fn matches<'a>(&self, lookup: impl Fn(&str) -> Option<&'a str>) -> bool {
        self.first_failed(lookup).is_none()
    }

    /// Returns the first term that does not hold. `lookup` returns the value of a
    /// label key.
    pub fn first_failed<'a>(&self, lookup: impl Fn(&str) -> Option<&'a str>) -> Option<&Term> {
        self.terms.iter().find(|term| !term.holds(lookup(&term.key)))
    }

    /// Returns the values listed by the first `=` or `in` term on `key`; `None` if
    /// there is no such term.
    pub fn required_values(&self, key: &str) -> Option<&[String]> {
        self.terms.iter().find_map(|term| match &term.rule {
            TermRule::In(values) if term.key == key => Some(values.as_slice()),
            _ => None,
        })
    }
}

impl FromStr for Selector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self, SelectorError> {
        if text.len() > Self::MAX_BYTES {
            let detail = format!("selector of {} bytes, limit {}", text.len(), Self::MAX_BYTES);
            return Err(SelectorError { position: 1, detail });
        }
        Ok(Self { terms: Parser::new(text).parse()? })
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, term) in self.terms.iter().enumerate() {
            if index > 0 {
                f.write_str(" and ")?;
            }
            write!(f, "{term}")?;
        }
        Ok(())
    }
}
