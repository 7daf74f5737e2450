use std::path::PathBuf;
use std::sync::Arc;

use mustardhinge_config::settings::TlsFiles;
use mustardhinge_fleet::SmallFleet;
use rustls::crypto::ring;
use rustls::{ClientConfig, RootCertStore};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, ServerName};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

use super::cluster::{caller, connect, haulage, start};

/// SSLRequest packet: length and request code.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

fn test_file(name: &str) -> PathBuf {
    let root = env!("CARGO_MANIFEST_DIR");
    [root, "tests", "data", name].iter().collect()
}

async fn encrypted_fleet() -> SmallFleet {
    let files = TlsFiles {
        certificate: test_file("test-certificate.pem"),
        key: test_file("test-key.pem"),
    };
    start(SmallFleet::builder().service(haulage()).tls(files)).await
}

fn connector() -> TlsConnector {
    let certificate = CertificateDer::from_pem_file(test_file("test-certificate.pem"));
    let mut roots = RootCertStore::empty();
    roots.add(certificate.unwrap()).unwrap();
    let provider = Arc::new(ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    TlsConnector::from(Arc::new(config))
}

fn startup_packet() -> Vec<u8> {
    let parameters = b"user\0driver\0database\0haulage-1\0\0";
    let length = u32::try_from(8 + parameters.len()).unwrap();
    let mut packet = length.to_be_bytes().to_vec();
    packet.extend([0, 3, 0, 0]);
    packet.extend(parameters);
    packet
}

#[tokio::test]
async fn a_caller_is_asked_for_its_key_over_tls() {
    let fleet = encrypted_fleet().await;
    let mut tcp = TcpStream::connect(fleet.instances[0].address)
        .await
        .unwrap();
    tcp.write_all(&SSL_REQUEST).await.unwrap();
    assert_eq!(tcp.read_u8().await.unwrap(), b'S');
    let name = ServerName::try_from("127.0.0.1").unwrap();
    let mut tls = connector().connect(name, tcp).await.unwrap();
    tls.write_all(&startup_packet()).await.unwrap();
    let mut request = [0; 9];
    tls.read_exact(&mut request).await.unwrap();
    assert_eq!(
        request,
        [b'R', 0, 0, 0, 8, 0, 0, 0, 3],
        "cleartext password"
    );
}

#[tokio::test]
async fn half_open_handshakes_do_not_block_other_callers() {
    let fleet = encrypted_fleet().await;
    let address = fleet.instances[0].address;
    let mut half_open = Vec::new();
    for _ in 0..20 {
        let mut tcp = TcpStream::connect(address).await.unwrap();
        tcp.write_all(&SSL_REQUEST).await.unwrap();
        half_open.push(tcp);
    }
    let client = connect(&caller(address)).await.unwrap();
    client.simple_query("SELECT 1").await.unwrap();
    for tcp in &mut half_open {
        assert_eq!(tcp.read_u8().await.unwrap(), b'S');
        assert!(
            tcp.read_u8().await.is_err(),
            "closed after the startup timeout"
        );
    }
}
