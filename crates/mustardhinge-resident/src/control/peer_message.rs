use std::net::SocketAddr;

use mustardhinge_core::evacuation::EvacuationVersion;
use mustardhinge_core::gateway::{GatewayUpdate, GatewayVersion};
use mustardhinge_core::membership::ConfirmationAges;
use mustardhinge_core::prelude::{
    DocumentVersion, InstanceId, LogPosition, ServiceId, TargetId, ZoneId,
};
use mustardhinge_core::primary_lease::{
    EpochDigest, GroupEpoch, LeaderRecord, LeaseGrant, PrimaryEvidence, RecordRevision,
};
use mustardhinge_core::rate_limit::{AllowanceGrant, ShareDeposit, ShareLoan, UsageReport};
use serde::{Deserialize, Serialize};

use super::ConfirmedCopies;
use crate::plan::TargetsDigest;

/// Version of the message format. Instances ignore messages of another version.
const MESSAGE_FORMAT: u8 = 12;

/// A message between instances, sent as one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Requests leases and allowances from the leader.
    #[serde(rename = "Ask")]
    LeaseRequest(LeaseRequest),
    /// The leader's response to [`LeaseRequest`](Self::LeaseRequest).
    Grant(Box<GrantMessage>),
    /// Requests more allowance after an instance has exhausted it.
    #[serde(rename = "AskSpending")]
    AllowanceRequest(AllowanceRequest),
    /// The leader's response to [`AllowanceRequest`](Self::AllowanceRequest).
    #[serde(rename = "GrantSpending")]
    AllowanceResponse(AllowanceResponse),
    /// Notification of the leader to stop using a primary.
    Stop(StopMessage),
    /// Names the leader, as far as the sender knows it.
    #[serde(rename = "Holder")]
    LeaderHint(LeaderHint),
    /// Requests the leader's record, to be sent to this address.
    WhoLeads(SocketAddr),
    /// The leader's assignment of gateways.
    Gateways(GatewayUpdate),
    /// Lends shares to the pool of the sender's zone and requests operations from it.
    ShareDeposit(ShareDepositMessage),
    /// The pool's response to a [`ShareDeposit`](Self::ShareDeposit).
    ShareLoan(ShareLoan),
    /// Asks an instance that watches the store for the versions of its copies.
    CopyQuery(CopyQuery),
    /// The response to a [`CopyQuery`](Self::CopyQuery).
    CopyReport(CopyReport),
}

impl PeerMessage {
    /// Encodes the message: the format version, then the fields.
    ///
    /// # Errors
    ///
    /// Fails if a field can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, vec![MESSAGE_FORMAT])
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the message has another format version, is malformed or names a fence above
    /// [`LeaderRecord::MAX_FENCE`].
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let Some((&MESSAGE_FORMAT, fields)) = bytes.split_first() else {
            return Err(postcard::Error::DeserializeBadEncoding);
        };
        let message: Self = postcard::from_bytes(fields)?;
        if message.fence() > LeaderRecord::MAX_FENCE {
            return Err(postcard::Error::DeserializeBadVarint);
        }
        Ok(message)
    }

    /// Returns the fence that the message names, or 0 if it names none.
    const fn fence(&self) -> u64 {
        match self {
            Self::LeaseRequest(request) => request.fence,
            Self::Grant(grant) => grant.record.fence,
            Self::AllowanceRequest(request) => request.fence,
            Self::AllowanceResponse(response) => response.fence,
            Self::Stop(stop) => stop.fence,
            Self::LeaderHint(hint) => hint.record.fence,
            Self::Gateways(update) => update.version.fence,
            Self::WhoLeads(_)
            | Self::ShareDeposit(_)
            | Self::ShareLoan(_)
            | Self::CopyQuery(_)
            | Self::CopyReport(_) => 0,
        }
    }
}

/// A request for leases and allowances, with a report of the requester's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The requester.
    pub from: InstanceId,
    /// The incarnation of the requester's process.
    pub incarnation: u64,
    /// The address for the response.
    pub address: SocketAddr,
    /// The requester's availability zone.
    pub zone: ZoneId,
    /// Whether the requester can relay state from the store.
    #[serde(rename = "is_fed")]
    pub can_relay: bool,
    /// The requester's weight in the choice of gateways; with 0 it is not chosen.
    pub weight: u16,
    /// The version of the requester's table of gateways.
    pub gateways: GatewayVersion,
    /// The requester's clock in microseconds; the response repeats it.
    #[serde(rename = "asked_at")]
    pub requested_at: u64,
    /// The highest fence that the requester has seen.
    pub fence: u64,
    /// The acknowledgement of the last grant that the requester applied.
    #[serde(rename = "echo")]
    pub grant_ack: Option<GrantAck>,
    /// The version of the requester's configuration.
    pub plan_version: DocumentVersion,
    /// The targets that are leaving.
    pub leaving: Vec<TargetId>,
    /// The digest of the epochs that the requester knows.
    pub epochs: EpochDigest,
    /// The services whose position the requester needs: they were used recently and its own
    /// position is out of date.
    #[serde(rename = "wants")]
    pub wanted_positions: Vec<ServiceId>,
    /// Reports on the groups whose primary the requester used or has to stop using.
    pub groups: Vec<GroupReport>,
    /// The usage that the requester admitted, by customer.
    #[serde(rename = "spending")]
    pub usage: Vec<UsageReport>,
    /// The epochs that the requester knows, for a leader whose records a restored store may have
    /// lost.
    pub known_epochs: Vec<LeaseGrant>,
    /// The version of the requester's set of evacuated zones.
    pub evacuations: EvacuationVersion,
}

/// Identifies the grant that an instance applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAck {
    /// The fence of the leader.
    pub fence: u64,
    /// The leader's clock in microseconds when it granted the lease.
    pub granted_at: u64,
}

/// An instance's report on one group's primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The service of the group.
    pub service: ServiceId,
    /// The epoch that the report refers to.
    pub epoch: GroupEpoch,
    /// Whether the primary responds.
    pub evidence: PrimaryEvidence,
    /// Whether the instance has stopped using the primary.
    pub is_stopped: bool,
    /// The highest log position that the instance observed.
    pub position: Option<LogPosition>,
}

/// The leader's response to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantMessage {
    /// The leader's record.
    pub record: LeaderRecord,
    /// The revision of the record.
    pub revision: RecordRevision,
    /// The time since the renewal of the record, in milliseconds.
    pub renewed_ms: u64,
    /// The time of the request, as given by the requester.
    #[serde(rename = "asked_at")]
    pub requested_at: u64,
    /// The leader's clock in microseconds; the requester acknowledges it in its next request.
    pub granted_at: u64,
    /// The duration of the leases, counted from the time of the request, in milliseconds.
    pub lease_ms: u64,
    /// The targets that are leaving.
    pub leaving: Vec<TargetId>,
    /// The leases on the groups' primaries.
    pub groups: GrantedGroups,
    /// The allowances of the requester, by customer.
    #[serde(rename = "spending")]
    pub allowances: Vec<AllowanceGrant>,
    /// The number of instances.
    pub instances: usize,
    /// The requester's index among the instances.
    #[serde(rename = "place")]
    pub index: usize,
    /// The instance that watches the store for the requester; none if the requester watches it
    /// itself.
    pub relay: Option<SocketAddr>,
    /// The version of the leader's configuration.
    pub plan_version: DocumentVersion,
    /// The digest of the leader's list of targets.
    pub targets: TargetsDigest,
    /// The changes of the table of gateways since the requester's version.
    pub gateways: Option<GatewayUpdate>,
    /// The version of the leader's set of evacuated zones.
    pub evacuations: EvacuationVersion,
    /// The instance that keeps the share pool of the requester's zone; none if that is the
    /// requester.
    pub pool_keeper: Option<SocketAddr>,
    /// The ages of the confirmations that the leader's copies of the store's content are current.
    pub confirmed: ConfirmationAges,
}

impl GrantMessage {
    /// Returns the versions of the leader's copies of the store's content.
    #[must_use]
    pub const fn copies(&self) -> ConfirmedCopies {
        ConfirmedCopies {
            plan_version: self.plan_version,
            targets: self.targets,
            evacuations: self.evacuations,
            ages: self.confirmed,
        }
    }
}

/// The leases on the groups' primaries for one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedGroups {
    /// The groups whose epoch the requester does not know, and all groups without a usable lease.
    pub changed: Vec<GrantedGroup>,
    /// The digest of the groups' epochs, in the parts in which the requester's equals it. A matching
    /// part renews the leases of its groups, except of those in `changed`.
    #[serde(rename = "same")]
    pub digest: EpochDigest,
    /// The requested positions, each with the time in milliseconds since it covered all
    /// acknowledged writes.
    pub positions: Vec<(ServiceId, LogPosition, u64)>,
}

/// A request for more allowance for the customers that have exhausted theirs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceRequest {
    /// The requester.
    pub from: InstanceId,
    /// The incarnation of the requester's process.
    pub incarnation: u64,
    /// The address for the response.
    pub address: SocketAddr,
    /// The requester's clock in microseconds; the response repeats it.
    #[serde(rename = "asked_at")]
    pub requested_at: u64,
    /// The highest fence that the requester has seen.
    pub fence: u64,
    /// The usage that the requester admitted for these customers.
    #[serde(rename = "spending")]
    pub usage: Vec<UsageReport>,
}

/// The leader's response to an [`AllowanceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceResponse {
    /// The fence of the leader.
    pub fence: u64,
    /// The time of the request, as given by the requester.
    #[serde(rename = "asked_at")]
    pub requested_at: u64,
    /// The allowances of the requester, by customer.
    #[serde(rename = "spending")]
    pub allowances: Vec<AllowanceGrant>,
}

/// The lease on one group's primary, with a log position known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedGroup {
    /// The lease.
    pub grant: LeaseGrant,
    /// A log position and the time in milliseconds since it covered all acknowledged writes.
    pub position: Option<(LogPosition, u64)>,
}

/// A notification to stop using a group's primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopMessage {
    /// The fence of the leader.
    pub fence: u64,
    /// The service of the group.
    pub service: ServiceId,
    /// The epoch that ends.
    pub epoch: GroupEpoch,
}

/// The leader, as far as the sender knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// The newest leadership record that the sender knows.
    pub record: LeaderRecord,
    /// The address at which the sender relays its configuration.
    pub sender: SocketAddr,
    /// The version of the sender's configuration.
    pub plan_version: DocumentVersion,
}

/// A message to the share pool of the sender's zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareDepositMessage {
    /// The address for the response.
    pub address: SocketAddr,
    /// The deposits and requests.
    pub deposit: ShareDeposit,
}

/// A query for the versions of another instance's copies of the store's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyQuery {
    /// The address for the response.
    pub address: SocketAddr,
    /// The requester's clock in microseconds; the response repeats it.
    pub requested_at: u64,
}

/// The response to a [`CopyQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyReport {
    /// The address at which the responder serves its state.
    pub address: SocketAddr,
    /// The time of the query, as given by the requester.
    pub requested_at: u64,
    /// The responder's copies.
    pub copies: ConfirmedCopies,
}
