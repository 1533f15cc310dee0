use {
    super::{
        frame_stream::{FrameReader, FrameWriter},
        link_error::LinkError,
        message_kind::MessageKind,
        outbox::encode_frame,
        peer_metrics::PeerMetrics,
    },
    hmac::{Hmac, KeyInit, Mac},
    mango_wire::peer::{Hello, PeerFrame, PeerMessage, Proof},
    sha2::Sha256,
    std::sync::Arc,
};

pub(crate) const PROTOCOL_VERSION: u32 = 2;
const NONCE_BYTES: usize = 32;

/// What this host sends about itself in a handshake, and the shared secret whose
/// possession it proves.
pub(crate) struct Credentials {
    pub(crate) host_id: String,
    pub(crate) identity: String,
    pub(crate) zone: String,
    pub(crate) secret: String,
}

/// An authenticated process: it has proved that it holds the shared secret.
#[derive(Clone)]
pub(crate) struct Peer {
    pub(crate) host_id: String,
    pub(crate) identity: Arc<str>,
}

impl Credentials {
    /// Authenticates both sides of a link that this host dialled.
    pub(crate) async fn authenticate_as_dialler(
        &self,
        reader: &mut FrameReader,
        writer: &mut FrameWriter,
        metrics: &PeerMetrics,
    ) -> Result<Peer, LinkError> {
        let nonce = rand::random::<[u8; NONCE_BYTES]>();
        write_message(writer, self.hello(&nonce).into(), metrics).await?;
        let hello = self.read_hello(reader).await?;
        write_message(writer, self.proof(&hello.nonce, &nonce).into(), metrics).await?;
        self.read_proof(reader, &hello, &nonce).await?;
        Ok(Peer { host_id: hello.host_id, identity: hello.identity.into() })
    }

    /// Authenticates both sides of a link that the peer dialled. This host sends
    /// its proof only after it has checked the peer's proof, so that an unknown
    /// process can't obtain proofs over nonces of its choice.
    pub(crate) async fn authenticate_as_acceptor(
        &self,
        reader: &mut FrameReader,
        writer: &mut FrameWriter,
        metrics: &PeerMetrics,
    ) -> Result<Peer, LinkError> {
        let nonce = rand::random::<[u8; NONCE_BYTES]>();
        let hello = self.read_hello(reader).await?;
        write_message(writer, self.hello(&nonce).into(), metrics).await?;
        self.read_proof(reader, &hello, &nonce).await?;
        write_message(writer, self.proof(&hello.nonce, &nonce).into(), metrics).await?;
        Ok(Peer { host_id: hello.host_id, identity: hello.identity.into() })
    }

    fn hello(&self, nonce: &[u8]) -> Hello {
        Hello {
            protocol_version: PROTOCOL_VERSION,
            host_id: self.host_id.clone(),
            identity: self.identity.clone(),
            zone: self.zone.clone(),
            nonce: nonce.to_vec(),
        }
    }

    fn proof(&self, receiver_nonce: &[u8], sender_nonce: &[u8]) -> Proof {
        let mac = self.compute_mac(receiver_nonce, sender_nonce, &self.host_id, &self.identity);
        Proof { mac: mac.finalize().into_bytes().to_vec() }
    }

    async fn read_hello(&self, reader: &mut FrameReader) -> Result<Hello, LinkError> {
        let PeerMessage::Hello(hello) = reader.next().await?.message else {
            return Err(LinkError::Unexpected("expected a hello"));
        };
        if hello.protocol_version != PROTOCOL_VERSION {
            return Err(LinkError::Version(hello.protocol_version));
        }
        if hello.nonce.len() != NONCE_BYTES {
            return Err(LinkError::Refused("the nonce has the wrong size"));
        }
        // rejects reflection: this host's own proofs, sent back to it, would be valid
        if hello.host_id == self.host_id {
            return Err(LinkError::Refused("the peer uses this host's own id"));
        }
        Ok(hello)
    }

    async fn read_proof(
        &self,
        reader: &mut FrameReader,
        hello: &Hello,
        own_nonce: &[u8],
    ) -> Result<(), LinkError> {
        let PeerMessage::Proof(proof) = reader.next().await?.message else {
            return Err(LinkError::Unexpected("expected a proof"));
        };
        self.compute_mac(own_nonce, &hello.nonce, &hello.host_id, &hello.identity)
            .verify_slice(&proof.mac) // compares in constant time
            .map_err(|_| LinkError::BadProof)
    }

    /// Computes the MAC by which the sender proves the shared secret to the receiver.
    fn compute_mac(
        &self,
        receiver_nonce: &[u8],
        sender_nonce: &[u8],
        sender_host: &str,
        sender_identity: &str,
    ) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret.as_bytes())
            .expect("HMAC accepts keys of any length");
        mac.update(receiver_nonce);
        mac.update(sender_nonce);
        // length prefixes make the concatenation of host id and identity unambiguous
        for text in [sender_host, sender_identity] {
            mac.update(&(text.len() as u64).to_be_bytes());
            mac.update(text.as_bytes());
        }
        mac
    }
}

async fn write_message(
    writer: &mut FrameWriter,
    message: PeerMessage,
    metrics: &PeerMetrics,
) -> Result<(), LinkError> {
    let kind = MessageKind::from(&message);
    let bytes = encode_frame(&PeerFrame { call: 0, reply: false, message })
        .map_err(|_| LinkError::Unexpected("own handshake message is too large"))?;
    metrics.count_sent(kind, bytes.len());
    writer.write(bytes.into()).await
}
