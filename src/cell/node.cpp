#include "cell/node.h"

#include "cell/codec.h"

#include <algorithm>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Pause between two readings of the leader record while there is no link.
constexpr Duration SeekPause{200};

/// A link that is silent for this long makes the node read the leader record,
/// so that its last version is known when the link is given up.
constexpr Duration SilenceToSeek{400};

/// The policy has to be in force within 2 s of its writing; a call that hears
/// nothing is repeated after this time.
constexpr Duration PolicyWait{800};
constexpr Duration PolicyGap{20};

/// Instances with less processor time than the largest member of the last
/// leader contend later by up to this, as a leader needs most of all. Covers
/// two readings of the record by the larger ones.
constexpr Duration SlownessDelay{450};

/// Other instances wait so long for the successor of a leader that has stepped
/// down. It learns of that with its next mail.
constexpr Duration SuccessorWait{350};

} // namespace

void Node::LocalDelivery::post(
    const std::string &Address, std::string Body, Duration Timeout,
    std::function<void(std::optional<std::string>)> Then) {
  if (Address != Owner.Own.Address) {
    Remote.post(Address, std::move(Body), Timeout, std::move(Then));
    return;
  }
  Owner.Later.push_back([this, Body = std::move(Body), Then = std::move(Then)] {
    Then(Owner.receive(Body));
  });
}

Node::Node(const Ports &Use, const Timing &Times, InstanceInfo Own,
           std::string Process)
    : Use(Use), Times(Times), Own(Own), Process(Process),
      Peers(*this, Use.Peers),
      Policy(
          Use.Store, Use.Time, Use.Records.policyTable(), PolicyGap, PolicyWait,
          {[this](const std::vector<StoredRow> &Rows) { policyRows(Rows); },
           [this](const std::vector<StoredRow> &Rows) { policyRows(Rows); }}),
      Self({Use.Workers, Use.Advice, Peers, Use.Time, Use.Calendar, Use.Log,
            this->Times},
           std::move(Own), std::move(Process)) {}

void Node::policyRows(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows) {
    if (Row.Deleted)
      continue;
    const auto Read = Use.Records.decodePolicy(Row);
    if (!Read)
      continue;
    Self.setPolicy(*Read);
    if (Office)
      Office->setPolicy(Self.policy());
  }
}

void Node::serve(ClientCall Call, ClientResponder Respond) {
  Self.serve(std::move(Call), std::move(Respond));
}

std::optional<std::string> Node::receive(const std::string &Body) {
  const auto Mail = decodeEnvelope(Body);
  if (!Mail) {
    Use.Log.event("peer mail unreadable", "",
                  {{"bytes", std::to_string(Body.size())}});
    return std::nullopt;
  }
  if (Mail->FromLeader)
    return encode(Self.receive(*Mail));
  if (!Office)
    return encode(Receipt{false, Mail->Term <= ResignedTerm});
  const auto Reply = Office->receive(*Mail);
  return Reply ? std::optional(encode(*Reply)) : std::nullopt;
}

void Node::pump() {
  Policy.pump();
  if (Office && Office->isDeposed()) {
    Use.Log.event("no longer leading", Own.Name,
                  {{"term", std::to_string(Office->term())}});
    Office.reset();
  }
  if (Office)
    Office->pump();
  resignIfCutOff();
  Self.setStoreAnswer(Policy.isHealthy() ? std::optional(Policy.lastAnswer())
                                         : std::nullopt);
  Self.pump();
  seekLeader();
  while (!Later.empty()) {
    const std::function<void()> Next = std::move(Later.front());
    Later.pop_front();
    Next();
  }
}

// Another instance can go on at once, instead of after the lease.
void Node::resignIfCutOff() {
  if (!Office || !Office->shouldResign())
    return;
  ResignedTerm = Office->term();
  Use.Log.event("resigned, as the store does not take commits", Own.Name,
                {{"term", std::to_string(ResignedTerm)}});
  Office.reset();
}

bool Node::isReady() const { return !Leaving && Self.isServing(); }

void Node::leave() {
  if (Leaving)
    return;
  Leaving = true;
  Self.leave();
  if (Office)
    Office->stepDown();
}

bool Node::isIdle() const { return !Office && Self.openCalls() == 0; }

// The leader.

void Node::seekLeader() {
  const TimePoint Now = Use.Time.now();
  if (Seeking || Now < NextSeek)
    return;
  if (Self.isServing() && Self.silence() < SilenceToSeek) {
    SeenVersion = -1;
    return;
  }
  Seeking = true;
  NextSeek = Now + SeekPause;
  Use.Store.read(LeaderTable, CellPart, LeaderKey,
                 Life.guard([this](const ReadResult &Result) {
                   Seeking = false;
                   recordRead(Result);
                 }));
}

void Node::recordRead(const ReadResult &Result) {
  if (Result.Outcome != StoreOutcome::Done) {
    SeenVersion = -1; // Its commits may have been missed.
    return;
  }
  const TimePoint Now = Use.Time.now();
  if (Result.Rows.empty()) {
    contend(0, 0);
    return;
  }
  const StoredRow &Row = Result.Rows.front();
  const auto Record = decodeLeaderRecord(Row.Value);
  if (!Record) {
    Use.Log.event("leader record unreadable", Own.Name, {});
    return;
  }
  if (Row.Version != SeenVersion) {
    SeenVersion = Row.Version;
    SeenSince = Now;
  }
  const bool Vacant = Record->Instance.Name.empty();
  const bool Mine = Record->Instance.Name == Own.Name;
  if (Office && Mine && Record->Process == Process &&
      Record->Term == Office->term()) {
    Self.connect(*Record);
    return;
  }
  if (Vacant && !Record->Successor.empty() && Record->Successor != Own.Name &&
      Now - SeenSince < SuccessorWait)
    return;
  // A process of this instance has ended when its successor has its ports.
  const bool GivenUp = Record->Term == Self.resignedTerm();
  if (Vacant || GivenUp || (Mine && Record->Process != Process) ||
      (Mine && Record->Term > ResignedTerm)) {
    contend(Row.Version, Record->Term);
    return;
  }
  const double Strength =
      Record->LargestShare > 0
          ? std::clamp(Own.CpuShare / Record->LargestShare, 0.0, 1.0)
          : 1.0;
  const Duration Delay(
      Duration::rep(double(SlownessDelay.count()) * (1 - Strength)));
  if (Now - SeenSince >= Times.LeaderLease + Times.LeaderMargin + Delay) {
    contend(Row.Version, Record->Term);
    return;
  }
  Self.connect(*Record);
}

void Node::contend(std::int64_t Version, std::int64_t Term) {
  if (Leaving || Office)
    return;
  LeaderRecord Next;
  Next.Term = Term + 1;
  Next.Sequence = 1;
  Next.Process = Process;
  Next.Instance = Own;
  Transaction Changes;
  Changes.Partition = CellPart;
  Changes.Conditions.push_back({LeaderTable, LeaderKey, Version});
  Changes.Changes.push_back({LeaderTable, LeaderKey, encode(Next)});
  Seeking = true;
  const TimePoint SentAt = Use.Time.now();
  Use.Store.transact(Changes, Life.guard([this, Next, SentAt](
                                             const TransactionResult &Result) {
    Seeking = false;
    NextSeek = Use.Time.now();
    if (Result.Outcome == StoreOutcome::Done)
      takeOffice(Next, Result.Version, SentAt);
  }));
}

void Node::takeOffice(const LeaderRecord &Record, std::int64_t Version,
                      TimePoint SentAt) {
  Office = std::make_unique<Leader>(Leader::Ports{Use.Store, Use.Records, Peers,
                                                  Use.Time, Use.Calendar,
                                                  Use.Log, Times},
                                    Record, Version, SentAt);
  Office->setPolicy(Self.policy());
  Self.connect(Record);
}

} // namespace apricotwing::cell
