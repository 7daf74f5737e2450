use std::net::SocketAddr;

use crate::reader::TableReader;

/// Reports an address that no process can be reached at.
pub(crate) fn check_address(reader: &TableReader<'_>, key: &str, address: SocketAddr) {
    if address.ip().is_unspecified() || address.ip().is_multicast() {
        let advice = "give the number under which it is reached, such as 10.0.1.7:5432";
        reader.report(
            key,
            format!("{address} is no address of one machine"),
            advice,
        );
    }
    if address.port() == 0 {
        reader.report(key, "port 0", "give the port, 1 to 65535");
    }
}
