use std::net::SocketAddr;

use mustardhinge_core::gateway::{GatewayNews, GatewayVersion};
use mustardhinge_core::prelude::{
    DocumentVersion, InstanceId, LogPosition, ServiceId, TargetId, ZoneId,
};
use mustardhinge_core::primary_lease::{
    EpochDigest, GroupEpoch, LeaderRecord, LeaseGrant, PrimaryEvidence, RecordRevision,
};
use mustardhinge_core::rate_limit::{AllowanceGrant, UsageReport};
use serde::{Deserialize, Serialize};

use crate::plan::TargetsDigest;

/// The form of the datagrams; instances ignore those of another form.
const MESSAGE_FORMAT: u8 = 8;

/// One datagram between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// An instance asks the holder for leases and allowances.
    #[serde(rename = "Ask")]
    LeaseRequest(LeaseRequest),
    /// The holder lends.
    Grant(GrantMessage),
    /// An instance that has used up what it may admit asks for more.
    #[serde(rename = "AskSpending")]
    AllowanceRequest(AllowanceRequest),
    /// The holder allows more.
    #[serde(rename = "GrantSpending")]
    AllowanceResponse(AllowanceResponse),
    /// The holder asks for a primary to be used no more.
    Stop(StopMessage),
    /// An instance that isn't the holder says who is.
    #[serde(rename = "Holder")]
    LeaderHint(LeaderHint),
    /// An instance without the holder's word asks who holds the duty, to be told at this address.
    WhoLeads(SocketAddr),
    /// The holder says which instances are gateways.
    Gateways(GatewayNews),
}

impl PeerMessage {
    /// Encodes the message: its form, then its fields.
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
    /// Fails if it has another form or makes no sense.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        match bytes.split_first() {
            Some((&MESSAGE_FORMAT, fields)) => postcard::from_bytes(fields),
            _ => Err(postcard::Error::DeserializeBadEncoding),
        }
    }
}

/// What an instance needs, and what it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Who asks.
    pub from: InstanceId,
    /// The life of its process.
    pub incarnation: u64,
    /// Where it takes the answer.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it can pass on what the store says.
    #[serde(rename = "is_fed")]
    pub can_relay: bool,
    /// Its share of a gateway's work in relation to the others; 0 takes none.
    pub weight: u16,
    /// The table of gateways that it knows.
    pub gateways: GatewayVersion,
    /// The asker's time in microseconds; the answer repeats it.
    #[serde(rename = "asked_at")]
    pub requested_at: u64,
    /// The greatest fence that it has seen.
    pub fence: u64,
    /// The last grant that it took.
    #[serde(rename = "echo")]
    pub grant_ack: Option<GrantAck>,
    /// The version of its configuration.
    pub plan_version: DocumentVersion,
    /// Targets that are leaving.
    pub leaving: Vec<TargetId>,
    /// Tells which epochs it knows, of which groups.
    pub epochs: EpochDigest,
    /// The services whose position it needs: used of late, and its own position is not fresh.
    #[serde(rename = "wants")]
    pub wanted_positions: Vec<ServiceId>,
    /// What it knows of the groups whose primary it used, or has to stop using.
    pub groups: Vec<GroupReport>,
    /// What it admitted of the customers' rates.
    #[serde(rename = "spending")]
    pub usage: Vec<UsageReport>,
}

/// Tells which grant an instance took, by what the holder put into it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAck {
    /// The fence of the holder.
    pub fence: u64,
    /// The holder's time in microseconds.
    pub granted_at: u64,
}

/// What an instance knows of one group's primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The service whose group it is.
    pub service: ServiceId,
    /// The epoch that it speaks of.
    pub epoch: GroupEpoch,
    /// Whether the primary answers.
    pub evidence: PrimaryEvidence,
    /// Whether it has stopped using it.
    pub is_stopped: bool,
    /// The greatest position that it saw.
    pub position: Option<LogPosition>,
}

/// What the holder lends in answer to one question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantMessage {
    /// The holder's record.
    pub record: LeaderRecord,
    /// The revision of the record.
    pub revision: RecordRevision,
    /// How long ago the record was renewed, in milliseconds.
    pub renewed_ms: u64,
    /// The time of the question, as the asker gave it.
    #[serde(rename = "asked_at")]
    pub requested_at: u64,
    /// The holder's time in microseconds; the asker repeats it in its next question.
    pub granted_at: u64,
    /// For how long the primaries are lent, from the time of the question, in milliseconds.
    pub lease_ms: u64,
    /// Targets that are leaving.
    pub leaving: Vec<TargetId>,
    /// The groups' primaries.
    pub groups: GrantedGroups,
    /// What the asker may admit of the customers' rates.
    #[serde(rename = "spending")]
    pub allowances: Vec<AllowanceGrant>,
    /// How many instances there are.
    pub instances: usize,
    /// The asker's place among them.
    #[serde(rename = "place")]
    pub index: usize,
    /// Who watches the store for the asker; none if it has to do so itself.
    pub relay: Option<SocketAddr>,
    /// The version of the holder's configuration.
    pub plan_version: DocumentVersion,
    /// Tells which targets it knows.
    pub targets: TargetsDigest,
    /// What has changed in the table of gateways.
    pub gateways: Option<GatewayNews>,
}

/// The groups' primaries, as lent to one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedGroups {
    /// Those that the asker did not name rightly, or that are not lent, each with its epoch.
    pub changed: Vec<GrantedGroup>,
    /// Of which the asker named the epochs rightly: they are lent again unless they stand above.
    #[serde(rename = "same")]
    pub digest: EpochDigest,
    /// The positions asked for, and how long ago, in milliseconds, they covered all
    /// acknowledged writes.
    pub positions: Vec<(ServiceId, LogPosition, u64)>,
}

/// Asks for more of the customers whose allowance is used up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceRequest {
    /// Who asks.
    pub from: InstanceId,
    /// The life of its process.
    pub incarnation: u64,
    /// Where it takes the answer.
    pub address: SocketAddr,
    /// The asker's time in microseconds; the answer repeats it.
    #[serde(rename = "asked_at")]
    pub requested_at: u64,
    /// The greatest fence that it has seen.
    pub fence: u64,
    /// What it admitted of these customers.
    #[serde(rename = "spending")]
    pub usage: Vec<UsageReport>,
}

/// Allows more of some customers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceResponse {
    /// The fence of the holder.
    pub fence: u64,
    /// The time of the question, as the asker gave it.
    #[serde(rename = "asked_at")]
    pub requested_at: u64,
    /// What the asker may admit.
    #[serde(rename = "spending")]
    pub allowances: Vec<AllowanceGrant>,
}

/// One group's primary, with a position that the holder knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedGroup {
    /// The primary.
    pub grant: LeaseGrant,
    /// A position and how long ago, in milliseconds, it covered all acknowledged writes.
    pub position: Option<(LogPosition, u64)>,
}

/// A primary that is to be used no more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopMessage {
    /// The fence of the holder.
    pub fence: u64,
    /// The service whose group it is.
    pub service: ServiceId,
    /// The epoch that ends.
    pub epoch: GroupEpoch,
}

/// Who holds the duty, as far as the sender knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// The record as the sender knows it.
    pub record: LeaderRecord,
    /// Where the sender passes on its configuration.
    pub sender: SocketAddr,
    /// The version of the sender's configuration.
    pub plan_version: DocumentVersion,
}
