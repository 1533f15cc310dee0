pub(crate) mod rendezvous;
