#include "cell/node.h"

#include "cell/codec.h"

#include <algorithm>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Interval between two reads of the leader record while there is no link.
constexpr Duration LeaderReadInterval{200};

/// The leader record is read once the link has been silent for this long, so
/// that its latest version is known when the link is given up.
constexpr Duration LeaderReadAfterSilence{400};

/// Maximum time that a watch of the policy waits for a change. A new policy
/// must be in force within 2 s after it was written.
constexpr Duration PolicyWatchTimeout{800};
constexpr Duration PolicyWatchInterval{20};

/// Maximum extra delay before an instance tries to become leader. Instances
/// with a smaller CPU share than the largest member of the last term wait
/// longer, because the leader needs the most CPU time. The delay covers two
/// reads of the leader record by the larger instances.
constexpr Duration MaxElectionDelay{450};

/// How long other instances leave leadership to the preferred successor after a
/// step-down. The successor notices the step-down with its next message.
constexpr Duration SuccessorGracePeriod{350};

} // namespace

void Node::LoopbackTransport::post(
    const std::string &Address, std::string Body, Duration Timeout,
    std::function<void(std::optional<std::string>)> Callback) {
  if (Address != Owner.Instance.Address) {
    Remote.post(Address, std::move(Body), Timeout, std::move(Callback));
    return;
  }
  Owner.PendingDeliveries.push_back(
      [this, Body = std::move(Body), Callback = std::move(Callback)] {
        Callback(Owner.receive(Body));
      });
}

Node::Node(const Ports &Deps, const Timing &Times, InstanceInfo Instance,
           std::string Process)
    : Deps(Deps), Times(Times), Instance(Instance), Process(Process),
      Peers(*this, Deps.Peers),
      PolicyWatcher(
          Deps.Store, Deps.Time, Deps.Records.policyTable(),
          PolicyWatchInterval, PolicyWatchTimeout,
          {[this](const std::vector<StoredRow> &Rows) { onPolicyRows(Rows); },
           [this](const std::vector<StoredRow> &Rows) { onPolicyRows(Rows); }}),
      LocalMember({Deps.Workers, Deps.Advice, Peers, Deps.Time, Deps.WallTime,
                   Deps.Log, this->Times},
                  std::move(Instance), std::move(Process)) {}

void Node::onPolicyRows(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows) {
    if (Row.Deleted)
      continue;
    const auto NewPolicy = Deps.Records.decodePolicy(Row);
    if (!NewPolicy)
      continue;
    LocalMember.setPolicy(*NewPolicy);
    if (LocalLeader)
      LocalLeader->setPolicy(LocalMember.policy());
  }
}

void Node::serve(ClientCall Call, ClientResponder Respond) {
  LocalMember.serve(std::move(Call), std::move(Respond));
}

std::optional<std::string> Node::receive(const std::string &Body) {
  const auto Message = decodeEnvelope(Body);
  if (!Message) {
    Deps.Log.event("invalid peer message", "",
                   {{"bytes", std::to_string(Body.size())}});
    return std::nullopt;
  }
  if (Message->FromLeader)
    return encode(LocalMember.receive(*Message));
  if (!LocalLeader)
    return encode(EnvelopeReply{false, Message->Term <= ResignedTerm});
  const auto Reply = LocalLeader->receive(*Message);
  return Reply ? std::optional(encode(*Reply)) : std::nullopt;
}

void Node::pump() {
  PolicyWatcher.pump();
  if (LocalLeader && LocalLeader->isDeposed()) {
    Deps.Log.event("no longer leading", Instance.Name,
                   {{"term", std::to_string(LocalLeader->term())}});
    LocalLeader.reset();
  }
  if (LocalLeader)
    LocalLeader->pump();
  resignIfStoreUnreachable();
  LocalMember.setLastStoreResponse(
      PolicyWatcher.isHealthy() ? std::optional(PolicyWatcher.lastAnswer())
                                : std::nullopt);
  LocalMember.pump();
  readLeaderRecord();
  while (!PendingDeliveries.empty()) {
    const std::function<void()> Deliver = std::move(PendingDeliveries.front());
    PendingDeliveries.pop_front();
    Deliver();
  }
}

// Lets another instance take over immediately instead of after the lease.
void Node::resignIfStoreUnreachable() {
  if (!LocalLeader || !LocalLeader->shouldResign())
    return;
  ResignedTerm = LocalLeader->term();
  Deps.Log.event("resigned: the store does not accept commits", Instance.Name,
                 {{"term", std::to_string(ResignedTerm)}});
  LocalLeader.reset();
}

bool Node::isReady() const { return !Leaving && LocalMember.isServing(); }

void Node::leave() {
  if (Leaving)
    return;
  Leaving = true;
  LocalMember.leave();
  if (LocalLeader)
    LocalLeader->stepDown();
}

bool Node::isIdle() const {
  return !LocalLeader && LocalMember.openCalls() == 0;
}

// Leader election.

void Node::readLeaderRecord() {
  const TimePoint Now = Deps.Time.now();
  if (StoreCallInFlight || Now < NextLeaderRead)
    return;
  if (LocalMember.isServing() &&
      LocalMember.timeSinceAck() < LeaderReadAfterSilence) {
    ObservedVersion = -1;
    return;
  }
  StoreCallInFlight = true;
  NextLeaderRead = Now + LeaderReadInterval;
  Deps.Store.read(LeaderTable, CellPartition, LeaderKey,
                  Guard.wrap([this](const ReadResult &Result) {
                    StoreCallInFlight = false;
                    onLeaderRecord(Result);
                  }));
}

void Node::onLeaderRecord(const ReadResult &Result) {
  if (Result.Outcome != StoreOutcome::Done) {
    ObservedVersion = -1; // Commits of the leader may have been missed.
    return;
  }
  const TimePoint Now = Deps.Time.now();
  if (Result.Rows.empty()) {
    acquireLeadership(0, 0);
    return;
  }
  const StoredRow &Row = Result.Rows.front();
  const auto Record = decodeLeaderRecord(Row.Value);
  if (!Record) {
    Deps.Log.event("invalid leader record", Instance.Name, {});
    return;
  }
  if (Row.Version != ObservedVersion) {
    ObservedVersion = Row.Version;
    ObservedSince = Now;
  }
  const bool NoLeader = Record->Instance.Name.empty();
  const bool IsOwnRecord = Record->Instance.Name == Instance.Name;
  if (LocalLeader && IsOwnRecord && Record->Process == Process &&
      Record->Term == LocalLeader->term()) {
    LocalMember.connect(*Record);
    return;
  }
  if (NoLeader && !Record->Successor.empty() &&
      Record->Successor != Instance.Name &&
      Now - ObservedSince < SuccessorGracePeriod)
    return;
  // A record of another process of this instance is stale: that process must
  // have ended, because this process uses the same ports.
  const bool LeaderResigned = Record->Term == LocalMember.resignedTerm();
  if (NoLeader || LeaderResigned ||
      (IsOwnRecord && Record->Process != Process) ||
      (IsOwnRecord && Record->Term > ResignedTerm)) {
    acquireLeadership(Row.Version, Record->Term);
    return;
  }
  const double RelativeCpuShare =
      Record->LargestCpuShare > 0
          ? std::clamp(Instance.CpuShare / Record->LargestCpuShare, 0.0, 1.0)
          : 1.0;
  const Duration Delay(
      Duration::rep(double(MaxElectionDelay.count()) * (1 - RelativeCpuShare)));
  if (Now - ObservedSince >=
      Times.LeaderLease + Times.ClockSkewMargin + Delay) {
    acquireLeadership(Row.Version, Record->Term);
    return;
  }
  LocalMember.connect(*Record);
}

void Node::acquireLeadership(std::int64_t Version, std::int64_t Term) {
  if (Leaving || LocalLeader)
    return;
  LeaderRecord NewRecord;
  NewRecord.Term = Term + 1;
  NewRecord.Sequence = 1;
  NewRecord.Process = Process;
  NewRecord.Instance = Instance;
  Transaction Changes;
  Changes.Partition = CellPartition;
  Changes.Conditions.push_back({LeaderTable, LeaderKey, Version});
  Changes.Changes.push_back({LeaderTable, LeaderKey, encode(NewRecord)});
  StoreCallInFlight = true;
  const TimePoint SentAt = Deps.Time.now();
  Deps.Store.transact(Changes, Guard.wrap([this, NewRecord, SentAt](
                                              const TransactionResult &Result) {
    StoreCallInFlight = false;
    NextLeaderRead = Deps.Time.now();
    if (Result.Outcome == StoreOutcome::Done)
      becomeLeader(NewRecord, Result.Version, SentAt);
  }));
}

void Node::becomeLeader(const LeaderRecord &Record, std::int64_t Version,
                        TimePoint SentAt) {
  LocalLeader = std::make_unique<Leader>(
      Leader::Ports{Deps.Store, Deps.Records, Peers, Deps.Time, Deps.WallTime,
                    Deps.Log, Times},
      Record, Version, SentAt);
  LocalLeader->setPolicy(LocalMember.policy());
  LocalMember.connect(Record);
}

} // namespace apricotwing::cell
