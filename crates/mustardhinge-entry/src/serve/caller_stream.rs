use tokio::io::{AsyncRead, AsyncWrite};

/// A caller's connection, plain or encrypted.
pub trait CallerStream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send> CallerStream for S {}
