/// One header field; the name keeps the case in which it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    pub name: Box<str>,
    pub value: Box<[u8]>,
}

/// Header fields of a message in the order in which they were received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

/// Headers of a message for which a head is parsed without further memory.
pub(super) const USUAL_HEADERS: usize = 64;
/// Shortest header with its line end: a name of one byte and a colon.
const MIN_HEADER_BYTES: usize = 4;

/// Room for as many headers as fit into a head of this length.
pub(super) fn room_for_headers<'b>(head_bytes: usize) -> Vec<httparse::Header<'b>> {
    vec![httparse::EMPTY_HEADER; head_bytes / MIN_HEADER_BYTES]
}

/// Headers that apply to a single connection and are not forwarded.
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
        let headers = parsed
            .iter()
            .map(|header| Header { name: header.name.into(), value: header.value.into() });
        Headers(headers.collect())
    }

    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    /// Values of all headers with this name; the case of names is ignored.
    pub fn get_all<'a, 'n>(
        &'a self,
        name: &'n str,
    ) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.0
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| &*header.value)
    }

    /// The value of a header as trimmed text, or `None` if the header does not occur exactly
    /// once or is not valid UTF-8.
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

    /// Whether the comma-separated list in a header contains the token, ignoring case.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// Headers to forward: all except hop-by-hop headers, headers that `Connection` names,
    /// and `Content-Length`, which is written anew when the message is forwarded.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Header> {
        self.0.iter().filter(|header| {
            let name = &*header.name;
            !HOP_BY_HOP.iter().any(|hop_by_hop| name.eq_ignore_ascii_case(hop_by_hop))
                && !name.eq_ignore_ascii_case("content-length")
                && !self.contains_token("connection", name)
        })
    }
}
