use std::net::IpAddr;

use tokio::sync::watch;

use super::{LinkFault, LinkFaults};

/// The point that every byte of one connection has to pass.
#[derive(Clone, Debug)]
pub struct LinkGate {
    faults: watch::Receiver<LinkFaults>,
    peer: IpAddr,
    connection: u64,
}

impl LinkGate {
    /// Makes the gate of the connection with the number `connection` to `peer`.
    #[must_use]
    pub fn new(faults: watch::Receiver<LinkFaults>, peer: IpAddr, connection: u64) -> Self {
        Self {
            faults,
            peer,
            connection,
        }
    }

    /// Waits until bytes pass.
    ///
    /// # Errors
    ///
    /// Fails if the server is down or the connection is silent for good.
    pub async fn pass(&mut self) -> Result<(), LinkFault> {
        loop {
            match self.current_fault() {
                None => return Ok(()),
                Some(LinkFault::Held) => self.wait_for_change().await?,
                Some(fault) => return Err(fault),
            }
        }
    }

    /// Waits until the server goes down.
    pub async fn wait_for_down(&mut self) {
        while self.current_fault() != Some(LinkFault::Down) {
            if self.wait_for_change().await.is_err() {
                return;
            }
        }
    }

    fn current_fault(&mut self) -> Option<LinkFault> {
        let faults = self.faults.borrow_and_update();
        faults.fault_of(self.peer, self.connection)
    }

    async fn wait_for_change(&mut self) -> Result<(), LinkFault> {
        self.faults.changed().await.map_err(|_| LinkFault::Down)
    }
}
