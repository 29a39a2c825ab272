//! Conversions between the Raft types and the generated Protocol Buffers messages.

use crocustally_wire as wire;
use crocustally_wire::disk_record::Kind as DiskKind;
use crocustally_wire::log_entry::Payload as WirePayload;
use crocustally_wire::raft_message::Kind;
use smallvec::SmallVec;

use super::Body;
use super::Entry;
use super::HardState;
use super::Members;
use super::Message;
use super::Payload;
use super::Record;
use super::ReplicaId;
use super::Snapshot;

/// Error for a Protocol Buffers message without a required field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedMessage;

impl From<&Members> for wire::Members {
    fn from(m: &Members) -> Self {
        let ids = |l: &SmallVec<[ReplicaId; 5]>| l.iter().map(|id| id.0).collect();
        Self { voters: ids(&m.voters), learners: ids(&m.learners) }
    }
}

impl From<wire::Members> for Members {
    fn from(m: wire::Members) -> Self {
        let ids = |l: Vec<u64>| l.into_iter().map(ReplicaId).collect();
        Self { voters: ids(m.voters), learners: ids(m.learners) }
    }
}

impl From<Entry> for wire::LogEntry {
    fn from(e: Entry) -> Self {
        let payload = match e.payload {
            Payload::Command(buf) => WirePayload::Command(buf),
            Payload::Members(m) => WirePayload::Members((&m).into()),
            Payload::Barrier => WirePayload::Barrier(true),
        };
        Self { index: e.index, term: e.term, payload: Some(payload) }
    }
}

impl TryFrom<wire::LogEntry> for Entry {
    type Error = MalformedMessage;

    fn try_from(e: wire::LogEntry) -> Result<Self, MalformedMessage> {
        let payload = match e.payload.ok_or(MalformedMessage)? {
            WirePayload::Command(buf) => Payload::Command(buf),
            WirePayload::Members(m) => Payload::Members(m.into()),
            WirePayload::Barrier(_) => Payload::Barrier,
        };
        Ok(Self { index: e.index, term: e.term, payload })
    }
}

impl From<Snapshot> for wire::Snapshot {
    fn from(s: Snapshot) -> Self {
        let members = Some((&s.members).into());
        Self { index: s.index, term: s.term, members, state: s.state }
    }
}

impl TryFrom<wire::Snapshot> for Snapshot {
    type Error = MalformedMessage;

    fn try_from(s: wire::Snapshot) -> Result<Self, MalformedMessage> {
        let members = s.members.ok_or(MalformedMessage)?.into();
        Ok(Self { index: s.index, term: s.term, members, state: s.state })
    }
}

impl From<Message> for wire::RaftMessage {
    fn from(m: Message) -> Self {
        let kind = match m.body {
            Body::VoteRequest { last_index, last_term, pre } => {
                Kind::VoteRequest(wire::VoteRequest { last_index, last_term, pre })
            }
            Body::VoteReply { granted, pre } => Kind::VoteReply(wire::VoteReply { granted, pre }),
            Body::Append { prev_index, prev_term, commit, round, entries } => {
                let entries = entries.into_iter().map(Into::into).collect();
                let r = wire::AppendRequest { prev_index, prev_term, commit, round, entries };
                Kind::AppendRequest(r)
            }
            Body::AppendReply { accepted, match_index, round } => {
                Kind::AppendReply(wire::AppendReply { accepted, match_index, round })
            }
            Body::Snapshot { snapshot, round } => Kind::SnapshotRequest(wire::SnapshotRequest {
                snapshot: Some(snapshot.into()),
                round,
            }),
        };
        Self { term: m.term, kind: Some(kind) }
    }
}

impl TryFrom<wire::RaftMessage> for Message {
    type Error = MalformedMessage;

    fn try_from(m: wire::RaftMessage) -> Result<Self, MalformedMessage> {
        let body = match m.kind.ok_or(MalformedMessage)? {
            Kind::VoteRequest(r) => {
                Body::VoteRequest { last_index: r.last_index, last_term: r.last_term, pre: r.pre }
            }
            Kind::VoteReply(r) => Body::VoteReply { granted: r.granted, pre: r.pre },
            Kind::AppendRequest(r) => Body::Append {
                prev_index: r.prev_index,
                prev_term: r.prev_term,
                commit: r.commit,
                round: r.round,
                entries: entries(r.entries)?,
            },
            Kind::AppendReply(r) => Body::AppendReply {
                accepted: r.accepted,
                match_index: r.match_index,
                round: r.round,
            },
            Kind::SnapshotRequest(r) => Body::Snapshot {
                snapshot: r.snapshot.ok_or(MalformedMessage)?.try_into()?,
                round: r.round,
            },
        };
        Ok(Self { term: m.term, body })
    }
}

fn entries(raw: Vec<wire::LogEntry>) -> Result<Vec<Entry>, MalformedMessage> {
    raw.into_iter().map(Entry::try_from).collect()
}

impl From<Record> for wire::DiskRecord {
    fn from(r: Record) -> Self {
        let kind = match r {
            Record::Entry(e) => DiskKind::Entry(e.into()),
            Record::TruncateFrom(index) => DiskKind::TruncateFrom(index),
            Record::HardState(h) => DiskKind::HardState(wire::HardState {
                term: h.term,
                voted_for: h.voted_for.map_or(0, |v| v.0),
            }),
            Record::Commit(index) => DiskKind::Commit(index),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<wire::DiskRecord> for Record {
    type Error = MalformedMessage;

    fn try_from(r: wire::DiskRecord) -> Result<Self, MalformedMessage> {
        Ok(match r.kind.ok_or(MalformedMessage)? {
            DiskKind::Entry(e) => Self::Entry(e.try_into()?),
            DiskKind::TruncateFrom(index) => Self::TruncateFrom(index),
            DiskKind::HardState(h) => {
                let voted_for = (h.voted_for != 0).then_some(ReplicaId(h.voted_for));
                Self::HardState(HardState { term: h.term, voted_for })
            }
            DiskKind::Commit(index) => Self::Commit(index),
        })
    }
}
