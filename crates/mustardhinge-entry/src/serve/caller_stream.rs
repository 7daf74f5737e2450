use tokio::io::{AsyncRead, AsyncWrite};

/// Byte stream of a caller's connection, plain or encrypted.
pub trait CallerStream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send> CallerStream for S {}
