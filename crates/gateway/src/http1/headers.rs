/// One header line; the name is as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    pub name: Box<str>,
    pub value: Box<[u8]>,
}

/// Header lines of a message in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl Headers {
    pub(crate) fn from_parsed(parsed: &[httparse::Header<'_>]) -> Headers {
        let lines = parsed
            .iter()
            .map(|header| Header { name: header.name.into(), value: header.value.into() });
        Headers(lines.collect())
    }

    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    pub fn get_all<'a, 'n>(
        &'a self,
        name: &'n str,
    ) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.0
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| &*header.value)
    }

    /// The value of a header as text, if the header stands exactly once.
    pub fn get_unique(&self, name: &str) -> Option<&str> {
        let mut values = self.get_all(name);
        let value = values.next()?;
        if values.next().is_some() {
            return None;
        }
        std::str::from_utf8(value).ok().map(str::trim)
    }

    pub fn contains(&self, name: &str) -> bool {
        self.get_all(name).next().is_some()
    }

    /// Whether a header with a comma-separated list holds this word.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|word| word.trim().eq_ignore_ascii_case(token))
    }

    /// Headers to pass on: neither hop-by-hop, nor named by `Connection`, nor framing.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Header> {
        self.0.iter().filter(|header| {
            let name = &*header.name;
            !HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
                && !name.eq_ignore_ascii_case("content-length")
                && !self.contains_token("connection", name)
        })
    }
}
