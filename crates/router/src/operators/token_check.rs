use {
    sha2::{Digest, Sha256},
    subtle::ConstantTimeEq,
};

/// Checks the operators' token. It stores the token's SHA-256 digest.
pub(super) struct TokenCheck([u8; 32]);

impl TokenCheck {
    pub(super) fn new(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Whether an `Authorization` header contains the token. Digests are compared in
    /// constant time, so the time reveals neither the token nor its length.
    pub(super) fn accepts(&self, authorization: Option<&[u8]>) -> bool {
        let token = authorization.and_then(bearer_token);
        let Some(token) = token else { return false };
        let digest: [u8; 32] = Sha256::digest(token).into();
        digest.ct_eq(&self.0).into()
    }
}

fn bearer_token(header: &[u8]) -> Option<&[u8]> {
    let (scheme, token) = header.split_at_checked(7)?;
    scheme.eq_ignore_ascii_case(b"bearer ").then(|| token.trim_ascii())
}
