use {
    crate::selector_parser::Parser,
    std::{fmt, str::FromStr},
};

/// Why a text is not a selector.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SelectorError {
    /// Position of the first wrong character, counted in characters from 1.
    pub position: usize,
    /// What is wrong there.
    pub detail: String,
}

impl fmt::Display for SelectorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "position {}: {}", self.position, self.detail)
    }
}

impl std::error::Error for SelectorError {}

/// What a term demands of the value of its key.
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

/// One condition of a selector.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Term {
    /// Label key.
    pub key: String,
    /// Condition on its value.
    pub rule: TermRule,
}

impl Term {
    /// Whether the condition holds for the value of the key.
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

/// Parsed selector: all its terms must hold. An empty selector selects everything.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Selector {
    terms: Vec<Term>,
}

impl Selector {
    /// Longest text of a selector, in bytes.
    pub const MAX_BYTES: usize = 4096;

    /// The terms in the order of the text.
    pub fn terms(&self) -> &[Term] {
        &self.terms
    }

    /// Whether all terms hold for the values that `lookup` gives.
    pub fn matches<'a>(&self, lookup: impl Fn(&str) -> Option<&'a str>) -> bool {
        self.first_failed(lookup).is_none()
    }

    /// First term that does not hold.
    pub fn first_failed<'a>(&self, lookup: impl Fn(&str) -> Option<&'a str>) -> Option<&Term> {
        self.terms.iter().find(|term| !term.holds(lookup(&term.key)))
    }

    /// The values that the selector demands of `key`, if it demands any.
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
