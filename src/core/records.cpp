#include "core/records.h"

#include "core/error.h"

#include <array>
#include <utility>

namespace apricotwing {

namespace {

constexpr std::array<std::pair<SessionState, std::string_view>, 3>
    SessionStateNames = {{{SessionState::Live, "live"},
                          {SessionState::Leaving, "leaving"},
                          {SessionState::Fenced, "fenced"}}};

constexpr std::array<std::pair<ProposalState, std::string_view>, 3>
    ProposalStateNames = {{{ProposalState::Open, "open"},
                           {ProposalState::Signed, "signed"},
                           {ProposalState::Rejected, "rejected"}}};

constexpr std::array<std::pair<StopReason, std::string_view>, 4>
    StopReasonNames = {{{StopReason::Cancelled, "cancelled"},
                        {StopReason::Preempted, "preempted"},
                        {StopReason::Drained, "drained"},
                        {StopReason::OverLimit, "over_limit"}}};

template <typename Table, typename Enum>
std::string_view nameIn(const Table &Rows, Enum Value) {
  for (const auto &[Known, Name] : Rows)
    if (Known == Value)
      return Name;
  return "invalid";
}

template <typename Table>
auto parseIn(const Table &Rows, std::string_view What, std::string_view Name) {
  for (const auto &[Known, KnownName] : Rows)
    if (KnownName == Name)
      return Known;
  throw Error(ErrorKind::Internal,
              std::string(What) + " has the unknown value '" +
                  std::string(Name) + "'",
              "check that all instances run the same version");
}

/// Width of a number in a key, so that keys sort like numbers.
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
  return nameIn(SessionStateNames, Value);
}

SessionState parseSessionState(std::string_view Name) {
  return parseIn(SessionStateNames, "session state", Name);
}

std::string_view proposalStateName(ProposalState Value) {
  return nameIn(ProposalStateNames, Value);
}

ProposalState parseProposalState(std::string_view Name) {
  return parseIn(ProposalStateNames, "proposal state", Name);
}

std::string_view stopReasonName(StopReason Value) {
  return nameIn(StopReasonNames, Value);
}

StopReason parseStopReason(std::string_view Name) {
  return parseIn(StopReasonNames, "stop reason", Name);
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
