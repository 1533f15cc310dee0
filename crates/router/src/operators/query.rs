use std::collections::BTreeMap;

/// Parameters of a request's query string.
pub(super) struct Query(BTreeMap<String, String>);

impl Query {
    /// Parses `a=b&c=d` with percent encoding. Fails on a malformed escape, a parameter
    /// that occurs twice, or one that is not in `known`.
    pub(super) fn parse(text: &str, known: &[&str]) -> Result<Self, String> {
        let mut parameters = BTreeMap::new();
        for pair in text.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let (name, value) = (decode(name)?, decode(value)?);
            if !known.contains(&name.as_str()) {
                return Err(format!("parameter {name:?}, expected one of {}", known.join(", ")));
            }
            if parameters.insert(name.clone(), value).is_some() {
                return Err(format!("parameter {name:?} occurs twice"));
            }
        }
        Ok(Self(parameters))
    }

    pub(super) fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    pub(super) fn require(&self, name: &str) -> Result<&str, String> {
        self.get(name)
            .filter(|value| !value.is_empty())
            .ok_or(format!("parameter {name:?} missing"))
    }

    pub(super) fn number(&self, name: &str) -> Result<Option<u64>, String> {
        let Some(text) = self.get(name) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| format!("parameter {name:?}: {text:?} is not a number"))
    }
}

fn decode(text: &str) -> Result<String, String> {
    let malformed = || format!("malformed escape in {text:?}");
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let mut digit = || rest.next().and_then(|b| char::from(b).to_digit(16));
                let (high, low) = (digit().ok_or_else(malformed)?, digit().ok_or_else(malformed)?);
                bytes.push((high * 16 + low) as u8);
            }
            b'+' => bytes.push(b' '),
            byte => bytes.push(byte),
        }
    }
    String::from_utf8(bytes).map_err(|_| malformed())
}
