use std::sync::Arc;

use anyhow::Context;
use mustardhinge_config::settings::TlsFiles;
use rustls::ServerConfig;
use rustls::crypto::ring;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::TlsAcceptor;

/// Loads the certificate and the key for TLS connections of callers.
pub(super) fn load_acceptor(files: &TlsFiles) -> anyhow::Result<TlsAcceptor> {
    let certificates = CertificateDer::pem_file_iter(&files.certificate)
        .and_then(Iterator::collect)
        .with_context(|| format!("reading {}", files.certificate.display()))?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .with_context(|| format!("reading {}", files.key.display()))?;
    let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .context("setting up TLS")?
        .with_no_client_auth()
        .with_single_cert(certificates, key)
        .context("using the certificate")?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}
