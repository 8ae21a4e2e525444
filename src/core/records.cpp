#include "core/records.h"

#include "core/nametable.h"

namespace apricotwing {

namespace {

constexpr NameTable<SessionState, 3> SessionStateNames = {
    {{SessionState::Live, "live"},
     {SessionState::Leaving, "leaving"},
     {SessionState::Fenced, "fenced"}}};

constexpr NameTable<ProposalState, 3> ProposalStateNames = {
    {{ProposalState::Open, "open"},
     {ProposalState::Signed, "signed"},
     {ProposalState::Rejected, "rejected"}}};

constexpr NameTable<StopReason, 4> StopReasonNames = {
    {{StopReason::Cancelled, "cancelled"},
     {StopReason::Preempted, "preempted"},
     {StopReason::Drained, "drained"},
     {StopReason::OverLimit, "over_limit"}}};

/// Numbers in keys are padded with zeros to this width, so that the order of
/// the keys is the order of the numbers.
constexpr std::size_t SequenceDigits = 12;

std::string padded(std::uint64_t Number) {
  std::string Digits = std::to_string(Number);
  if (Digits.size() < SequenceDigits)
    Digits.insert(0, SequenceDigits - Digits.size(), '0');
  return Digits;
}

} // namespace

std::string toString(const SessionId &Id) {
  return Id.Instance + "@" + std::to_string(Id.SessionEpoch);
}

std::string_view sessionStateName(SessionState Value) {
  return enumName(SessionStateNames, Value);
}

SessionState parseSessionState(std::string_view Name) {
  return parseEnum(SessionStateNames, "session state", Name);
}

std::string_view proposalStateName(ProposalState Value) {
  return enumName(ProposalStateNames, Value);
}

ProposalState parseProposalState(std::string_view Name) {
  return parseEnum(ProposalStateNames, "proposal state", Name);
}

std::string_view stopReasonName(StopReason Value) {
  return enumName(StopReasonNames, Value);
}

StopReason parseStopReason(std::string_view Name) {
  return parseEnum(StopReasonNames, "stop reason", Name);
}

namespace keys {

std::string session(const InstanceId &Instance) {
  return SessionPrefix + Instance;
}

std::string shard(const ShardId &Shard) { return "shard/" + Shard; }

std::string journalPrefix(const ShardId &Shard) {
  return "journal/" + Shard + "/";
}

std::string journal(const ShardId &Shard, std::uint64_t Sequence) {
  return journalPrefix(Shard) + padded(Sequence);
}

std::string snapshot(const ShardId &Shard, std::uint64_t Sequence) {
  return "snapshot/" + Shard + "/" + padded(Sequence);
}

std::string runPrefix(const TeamName &Team) { return "run/" + Team + "/"; }

std::string run(const TeamName &Team, const RunId &Run) {
  return runPrefix(Team) + Run;
}

std::string inboxPrefix(const ShardId &Shard) { return "inbox/" + Shard + "/"; }

std::string inbox(const ShardId &Shard, const RunId &Run) {
  return inboxPrefix(Shard) + Run;
}

std::string cancelPrefix(const ShardId &Shard) {
  return "cancel/" + Shard + "/";
}

std::string cancel(const ShardId &Shard, const RunId &Run) {
  return cancelPrefix(Shard) + Run;
}

std::string idempotency(const TeamName &Team, const std::string &Key) {
  return "idem/" + Team + "/" + Key;
}

std::string executorPool(const std::string &Upstream) {
  return "pool/executor/" + Upstream;
}

std::string requestPool(const TeamName &Team) {
  return "pool/requests/" + Team;
}

std::string taskPool(const TeamName &Team) { return "pool/tasks/" + Team; }

std::string proposal(const std::string &Id) { return ProposalPrefix + Id; }

std::string history(std::uint64_t Version) {
  return HistoryPrefix + padded(Version);
}

} // namespace keys

} // namespace apricotwing
