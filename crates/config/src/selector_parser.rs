use crate::selector::{SelectorError, Term, TermRule};

/// Recursive-descent parser for selectors. Spaces may surround any token.
///
/// ```text
/// selector = [ term { "and" term } ]
/// term     = "!" key | key [ rule ]
/// rule     = "=" value | "!=" value | ( "in" | "notin" ) "(" value { "," value } ")"
/// ```
pub(crate) struct Parser {
    chars: Vec<char>,
    /// Index of the next unread character.
    next: usize,
}

impl Parser {
    pub(crate) fn new(text: &str) -> Self {
        Self { chars: text.chars().collect(), next: 0 }
    }

    pub(crate) fn parse(mut self) -> Result<Vec<Term>, SelectorError> {
        let mut terms = Vec::new();
        self.skip_spaces();
        if self.peek().is_none() {
            return Ok(terms);
        }
        loop {
            terms.push(self.parse_term()?);
            self.skip_spaces();
            if self.peek().is_none() {
                return Ok(terms);
            }
            let start = self.next;
            if self.read_word() != "and" {
                return Err(self.error_at(start, "expected `and` or the end"));
            }
            self.skip_spaces();
        }
    }

    fn parse_term(&mut self) -> Result<Term, SelectorError> {
        if self.peek() == Some('!') {
            self.next += 1;
            self.skip_spaces();
            return Ok(Term { key: self.parse_key()?, rule: TermRule::Absent });
        }
        let key = self.parse_key()?;
        self.skip_spaces();
        let rule = self.parse_rule()?;
        Ok(Term { key, rule })
    }

    fn parse_rule(&mut self) -> Result<TermRule, SelectorError> {
        match self.peek() {
            Some('=') => {
                self.next += 1;
                if self.peek() == Some('=') {
                    return Err(self.error("equality is written with one `=`"));
                }
                Ok(TermRule::In(vec![self.parse_value()?]))
            }
            Some('!') => {
                self.next += 1;
                if self.peek() != Some('=') {
                    return Err(self.error("expected `=` after `!`"));
                }
                self.next += 1;
                Ok(TermRule::NotIn(vec![self.parse_value()?]))
            }
            _ => self.parse_word_rule(),
        }
    }

    /// Parses `in (...)` or `notin (...)`. Any other text means that the term only
    /// requires the key; it is left unread.
    fn parse_word_rule(&mut self) -> Result<TermRule, SelectorError> {
        let start = self.next;
        match self.read_word().as_str() {
            "in" => Ok(TermRule::In(self.parse_values()?)),
            "notin" => Ok(TermRule::NotIn(self.parse_values()?)),
            _ => {
                self.next = start;
                Ok(TermRule::Exists)
            }
        }
    }

    fn parse_values(&mut self) -> Result<Vec<String>, SelectorError> {
        self.skip_spaces();
        if self.peek() != Some('(') {
            return Err(self.error("expected `(`"));
        }
        self.next += 1;
        let mut values = Vec::new();
        loop {
            values.push(self.parse_value()?);
            self.skip_spaces();
            match self.peek() {
                Some(',') => self.next += 1,
                Some(')') => {
                    self.next += 1;
                    return Ok(values);
                }
                _ => return Err(self.error("expected `,` or `)`")),
            }
        }
    }

    /// Parses a label key, which must not be a keyword.
    fn parse_key(&mut self) -> Result<String, SelectorError> {
        let start = self.next;
        let key = self.read_word();
        if key.is_empty() {
            return Err(self.error_at(start, "expected a label key"));
        }
        if matches!(key.as_str(), "and" | "in" | "notin") {
            return Err(self.error_at(start, &format!("expected a label key, `{key}` is reserved")));
        }
        Ok(key)
    }

    fn parse_value(&mut self) -> Result<String, SelectorError> {
        self.skip_spaces();
        let value = self.read_word();
        if value.is_empty() {
            return Err(self.error("expected a value"));
        }
        Ok(value)
    }

    /// Reads word characters up to the first other character; may be empty.
    fn read_word(&mut self) -> String {
        let start = self.next;
        while self.peek().is_some_and(is_word_char) {
            self.next += 1;
        }
        self.chars[start..self.next].iter().collect()
    }

    fn skip_spaces(&mut self) {
        while self.peek().is_some_and(char::is_whitespace) {
            self.next += 1;
        }
    }

    fn peek(&self) -> Option<char> {
        self.chars.get(self.next).copied()
    }

    fn error(&self, detail: &str) -> SelectorError {
        self.error_at(self.next, detail)
    }

    /// Returns an error at `index` with the character found there. Positions in errors start at 1.
    fn error_at(&self, index: usize, detail: &str) -> SelectorError {
        let found = match self.chars.get(index) {
            Some(c) => format!("found `{c}`"),
            None => "found the end".to_owned(),
        };
        SelectorError { position: index + 1, detail: format!("{detail}, {found}") }
    }
}

/// Returns whether a label key or value may contain the character.
pub(crate) fn is_word_char(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '_' | '-' | '.' | '/' | ':')
}
