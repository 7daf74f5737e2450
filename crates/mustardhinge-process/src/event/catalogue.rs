use log::Level;

use super::LogEvent;

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $title:literal;)*) => {
        $(
            #[doc = $title]
            pub const $name: LogEvent = LogEvent {
                number: $number,
                level: Level::$level,
                title: $title,
            };
        )*

        /// All events, ordered by number.
        pub const ALL_EVENTS: &[LogEvent] = &[$($name),*];
    };
}

// Number ranges: 1000 all processes, 2000 entry, 3000 agent, 4000 failover, 5000 stand-ins,
// 6000 resident.
events! {
    PROCESS_STARTED = 1001, Info, "process started";
    PROCESS_STOPPING = 1002, Info, "process stopping";
    PROCESS_STOPPED = 1003, Info, "process stopped";
    PROCESS_FAILED = 1004, Error, "process failed";
    AGENT_NOT_REACHED = 2001, Warn, "agent not reached";
    TARGET_NOT_REACHED = 2002, Warn, "target not reached";
    DOCUMENT_NOT_SERVED = 2003, Error, "document not served";
    CALLER_NOT_ACCEPTED = 2004, Warn, "caller not accepted";
    DRAIN_BOUND_REACHED = 2005, Warn, "drain bound reached";
    PLATFORM_REACHED = 3001, Info, "platform reached";
    PLATFORM_LOST = 3002, Warn, "platform not reached";
    DOCUMENT_ADOPTED = 3003, Info, "document adopted";
    DOCUMENT_REJECTED = 3004, Error, "document in the store rejected";
    DRAIN_STARTED = 3005, Info, "drain started";
    DRAIN_ENDED = 3006, Info, "drain taken back";
    PEER_LOST = 3007, Warn, "agent of another instance not reached";
    UPDATE_ACCEPTED = 3008, Info, "document update accepted";
    UPDATE_REFUSED = 3009, Info, "document update refused";
    PRIMARY_SUSPECTED = 4001, Warn, "primary suspected";
    TERM_STARTED = 4002, Warn, "new term begun";
    TERM_ABANDONED = 4003, Warn, "new term abandoned";
    PRIMARY_PROMOTED = 4004, Info, "primary promoted";
    TARGET_JOINED = 5001, Info, "target joined its group";
    LEASE_GAINED = 6001, Info, "lease on primary gained";
    LEASE_LOST = 6002, Warn, "lease on primary lost";
    LEADERSHIP_GAINED = 6003, Info, "duty gained";
    LEADERSHIP_LOST = 6004, Warn, "duty lost";
    PRIMARY_STOPPED = 6005, Warn, "use of primary stopped";
    TARGET_LISTED = 6006, Info, "target listed";
    TARGET_CHANGED = 6007, Info, "target changed";
    TARGET_DROPPED = 6008, Info, "target no longer listed";
    TARGET_FAILED = 6009, Warn, "target fails";
    TARGET_RECOVERED = 6010, Info, "target answers again";
    REQUEST_REFUSED = 6011, Info, "request refused";
    OUTCOME_UNKNOWN = 6012, Warn, "outcome of request unknown";
    REQUEST_RETRIED = 6013, Info, "request sent to another target";
    SETTINGS_RELOADED = 6014, Info, "settings reloaded";
    SETTINGS_REJECTED = 6015, Error, "settings rejected";
    ENTRY_IGNORED = 6016, Warn, "entry in the store ignored";
    PROMOTE_ORDERED = 6017, Info, "promotion ordered";
    TRANSACTION_ENDED = 6018, Info, "transaction ended by the proxy";
    REQUEST_ANSWERED = 6019, Info, "request answered";
    GATEWAYS_CHANGED = 6020, Info, "gateways changed";
    GATEWAY_LOST = 6021, Info, "connection to gateway ended";
    GATEWAY_LEAVING = 6022, Info, "gateway is stopping";
    FORWARDER_LEFT = 6023, Info, "instance that forwards left";
    FORWARD_REFUSED = 6024, Info, "forwarded statement not run";
    OVERLOAD_CONTROL_CHANGED = 6025, Info, "overload control changed";
    STORE_ERA_RAISED = 6026, Warn, "store restored from an older copy";
    EVACUATIONS_CHANGED = 6027, Warn, "evacuated zones changed";
    TARGET_DISTRUSTED = 6028, Warn, "target fails statements but answers probes";
    TARGET_CAPACITY_CHANGED = 6029, Info, "effective slots of a target changed";
    TARGET_SHARE_CHANGED = 6030, Warn, "share of reads of a target that fails some changed";
    COPY_UNCONFIRMED = 6031, Warn, "copy of the store's content not confirmed in time";
    COPY_CONFIRMED = 6032, Info, "copy of the store's content confirmed again";
    LEADERSHIP_SUSPENDED = 6033, Warn, "leadership not renewed in time";
    LEADERSHIP_RESUMED = 6034, Info, "leadership renewed late";
    PROMOTION_DELAYED = 6035, Warn, "no successor known to have all commits";
    PROMOTION_CONTINUED = 6036, Info, "successor has all commits";
    INTAKE_CLOSED = 6037, Info, "listener for callers closed";
    MEMBER_DEPARTED = 6038, Warn, "replica that may have confirmed commits left the list";
    MEMBER_COVERED = 6039, Info, "other replicas have all commits of a departed one";
}
