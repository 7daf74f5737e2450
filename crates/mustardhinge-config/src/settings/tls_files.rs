use std::path::PathBuf;

use crate::reader::TableReader;

/// The files that TLS towards callers needs, both in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate chain.
    pub certificate: PathBuf,
    /// The private key.
    pub key: PathBuf,
}

impl TlsFiles {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let advice = "the path of a PEM file that this process can read";
        let certificate: Option<PathBuf> = reader.text("certificate", advice);
        let key: Option<PathBuf> = reader.text("key", advice);
        for (name, path) in [("certificate", &certificate), ("key", &key)] {
            let Some(path) = path else { continue };
            if let Err(error) = std::fs::File::open(path) {
                reader.report(name, format!("{}: {error}", path.display()), advice);
            }
        }
        Some(Self {
            certificate: certificate?,
            key: key?,
        })
    }
}
