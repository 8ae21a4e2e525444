#include "cell/shardagent.h"

#include "cell/codec.h"

#include <algorithm>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Interval between two reads of the leader record while there is no link.
constexpr Duration LeaderReadInterval{200};

/// Other instances are asked for the leader if a read of its record failed or
/// takes longer than this, and again after LookupInterval. A slow store takes
/// up to 0.7 s, but then the leader is also slow to change.
constexpr Duration MaxLeaderReadTime{150};
constexpr Duration LookupInterval{100};

/// The leader record is read once a message to the leader has had no reply for
/// this long, so that its latest version is known when the link is given up.
constexpr Duration MaxUnansweredTime{150};

/// Maximum extra delay before an instance tries to become leader. Instances
/// with a smaller CPU share than the largest member of the last term wait
/// longer, because the leader needs the most CPU time, and so do instances that
/// lead another shard. The delay covers MaxUnansweredTime and two reads of the
/// leader record by the larger instances, as their links may fail last.
constexpr Duration MaxElectionDelay{750};

/// How long other instances leave leadership to the preferred successor after a
/// step-down. The successor notices the step-down with its next message.
constexpr Duration SuccessorGracePeriod{350};

/// Instances with at least this fraction of the largest CPU share offer
/// themselves to other shards.
constexpr double GuestShareRatio = 0.5;

/// Delay before an instance that was rejected as a guest offers itself again.
constexpr Duration GuestOfferInterval{6000};

} // namespace

ShardAgent::ShardAgent(const Ports &Deps, int Shard, InstanceInfo Instance,
                       std::string Process, Callbacks Owner)
    : Deps(Deps), Shard(Shard), Instance(Instance), Process(Process),
      Owner(std::move(Owner)),
      Channel(Deps.Peers, Deps.Time, Shard, Process, this->Owner.Answers),
      Lookup(Deps.Peers, Shard, Instance.Name),
      LocalMember({Deps.Workers, Deps.Advice, Deps.Peers, Deps.Time, Deps.Log,
                   Deps.Times},
                  Shard, std::move(Instance), std::move(Process)),
      Home(Shard == 0) {}

void ShardAgent::setLayout(const ShardLayout &NewLayout) {
  if (Layout)
    return;
  Layout = NewLayout;
  Home = NewLayout.homeOfInstance(Instance.Name) == Shard;
  if (LocalLeader)
    LocalLeader->setLayout(NewLayout);
  // The link that was opened before the layout was known tells the leader that
  // this is the home shard.
  if (!Home)
    LocalMember.disconnect();
}

void ShardAgent::setPolicy(const jobs::ClusterPolicy &NewPolicy) {
  Policy = NewPolicy;
  Channel.setPolicyVersion(Policy.Version);
  LocalMember.setPolicyVersion(Policy.Version);
  if (LocalLeader)
    LocalLeader->setPolicy(Policy);
}

void ShardAgent::setEvacuatedZones(const std::set<std::string> &Zones) {
  EvacuatedZones = Zones;
  if (LocalLeader)
    LocalLeader->setEvacuatedZones(Zones);
}

std::optional<EnvelopeReply> ShardAgent::receive(const Envelope &Message) {
  if (Message.FromLeader)
    return LocalMember.receive(Message);
  if (!LocalLeader)
    return EnvelopeReply{false, Message.Term <= ResignedTerm};
  return LocalLeader->receive(Message);
}

void ShardAgent::serveCalls(const CallBatch &Batch, BatchResponder Respond) {
  const bool Leads = LocalLeader && LocalLeader->term() == Batch.Term &&
                     !LocalLeader->isDeposed();
  if (Leads)
    LocalLeader->serveCalls(Batch, std::move(Respond));
  else
    Respond(CallBatchReply{BatchOutcome::NotLeader, {}, {}});
}

void ShardAgent::pump(const Surroundings &Others) {
  if (LocalLeader && LocalLeader->isDeposed()) {
    Deps.Log.event("no longer leading", Instance.Name,
                   {{"shard", std::to_string(Shard)},
                    {"term", std::to_string(LocalLeader->term())}});
    LocalLeader.reset();
  }
  if (LocalLeader) {
    LocalLeader->setLowerShardsLed(Others.LowerShardsLed);
    LocalLeader->setOperatorRowsKnownUntil(Others.OperatorRowsKnownUntil);
    LocalLeader->pump();
  }
  resignIfStoreUnreachable();
  LocalMember.setLastStoreResponse(Others.LastStoreResponse);
  LocalMember.setOtherShardsLed(Others.ShardsLed);
  LocalMember.pump();
  findLeader(Others);
  Channel.pump();
}

// Lets another instance take over immediately instead of after the lease.
void ShardAgent::resignIfStoreUnreachable() {
  if (!LocalLeader || !LocalLeader->shouldResign())
    return;
  ResignedTerm = LocalLeader->term();
  Deps.Log.event("resigned: the store does not accept commits", Instance.Name,
                 {{"shard", std::to_string(Shard)},
                  {"term", std::to_string(ResignedTerm)}});
  LocalLeader.reset();
}

void ShardAgent::leave() {
  if (Leaving)
    return;
  Leaving = true;
  LocalMember.leave();
  if (LocalLeader)
    LocalLeader->stepDown();
}

double ShardAgent::largestCpuShare() const {
  return std::max(RecordedCpuShare, LocalMember.largestCpuShare());
}

// Leader election.

bool ShardAgent::isLinked(const Surroundings &Others) const {
  if (Home || LocalLeader)
    return true;
  const double Largest = std::max(Others.LargestCpuShare, largestCpuShare());
  return Largest > 0 && !Leaving && Deps.Time.now() >= NextGuestOffer &&
         Instance.CpuShare >= Largest * GuestShareRatio;
}

void ShardAgent::findLeader(const Surroundings &Others) {
  const TimePoint Now = Deps.Time.now();
  if (LocalMember.takeGuestRejection())
    NextGuestOffer = Now + GuestOfferInterval;
  const bool IsLinkWell =
      !isLinked(Others) || (LocalMember.isEstablished() &&
                            LocalMember.unansweredFor() < MaxUnansweredTime);
  if (IsLinkWell && !Channel.needsLeader()) {
    if (!StoreCallInFlight)
      ObservedVersion = -1;
    return;
  }
  if (StoreCallInFlight ? Now - StoreCallSentAt >= MaxLeaderReadTime
                        : LeaderReadFailed)
    askForLeader(Others);
  if (StoreCallInFlight || Now < NextLeaderRead)
    return;
  StoreCallInFlight = true;
  StoreCallSentAt = Now;
  NextLeaderRead = Now + LeaderReadInterval;
  Deps.Store.read(LeaderTable, partitionOf(Shard), LeaderKey, 1,
                  Guard.wrap([this, Others](const ReadResult &Result) {
                    StoreCallInFlight = false;
                    LeaderReadFailed = Result.Outcome != StoreOutcome::Done;
                    onLeaderRecord(Result, Others);
                  }));
}

// An instance that is cut off from the store can still serve callers and
// supervise workers, as only the leader needs the store for that.
void ShardAgent::askForLeader(const Surroundings &Others) {
  const TimePoint Now = Deps.Time.now();
  if (!Others.Contacts || LocalLeader || Leaving || Now < NextLookup)
    return;
  NextLookup = Now + LookupInterval;
  Lookup.ask(*Others.Contacts, [this, Others](const LeaderRecord &Found) {
    const bool Outdated = Found.Term < LocalMember.leaderTerm() ||
                          Found.Term <= LocalMember.resignedTerm() ||
                          Found.Instance.Name == Instance.Name;
    if (!Outdated && !LocalLeader)
      follow(Found, Others);
  });
}

std::optional<LeaderRecord> ShardAgent::knownLeader() const {
  return LocalMember.isEstablished() ? LocalMember.leaderRecord()
                                     : Channel.answeringLeader();
}

void ShardAgent::onLeaderRecord(const ReadResult &Result,
                                const Surroundings &Others) {
  if (Result.Outcome != StoreOutcome::Done) {
    ObservedVersion = -1; // Commits of the leader may have been missed.
    return;
  }
  const TimePoint Now = Deps.Time.now();
  const std::int64_t Version =
      Result.Rows.empty() ? 0 : Result.Rows.front().Version;
  if (Version != ObservedVersion) {
    ObservedVersion = Version;
    ObservedSince = Now;
  }
  if (Result.Rows.empty()) {
    if (Now - ObservedSince >= electionDelay(Others) && isLinked(Others))
      acquireLeadership(0, LeaderRecord{});
    return;
  }
  const auto Record = decodeLeaderRecord(Result.Rows.front().Value);
  if (!Record) {
    Deps.Log.event("invalid leader record", Instance.Name, {});
    return;
  }
  RecordedCpuShare = Record->LargestCpuShare;
  RecordedMembers = Record->Members;
  const bool NoLeader = Record->Instance.Name.empty();
  const bool IsOwnRecord = Record->Instance.Name == Instance.Name;
  if (LocalLeader && IsOwnRecord && Record->Process == Process &&
      Record->Term == LocalLeader->term()) {
    follow(*Record, Others);
    return;
  }
  const bool LeaderResigned = Record->Term == LocalMember.resignedTerm();
  const bool HasNoLeader = NoLeader || LeaderResigned;
  if (HasNoLeader && VacantTerm != Record->Term) {
    VacantTerm = Record->Term;
    VacantSince = Now;
  }
  if (NoLeader && !Record->Successor.empty() &&
      Record->Successor != Instance.Name &&
      Now - ObservedSince < SuccessorGracePeriod)
    return;
  // A record of another process of this instance is stale: that process must
  // have ended, because this process uses the same ports.
  const bool IsOwnVacancy = IsOwnRecord && (Record->Process != Process ||
                                            Record->Term > ResignedTerm);
  const bool IsSuccessor = NoLeader && Record->Successor == Instance.Name;
  const Duration Delay = electionDelay(Others);
  const bool IsVacant = IsOwnVacancy || IsSuccessor ||
                        (HasNoLeader && Now - VacantSince >= Delay);
  const bool HasExpired =
      Now - ObservedSince >=
      Deps.Times.LeaderLease + Deps.Times.ClockSkewMargin + Delay;
  if ((IsVacant || HasExpired) && isLinked(Others)) {
    acquireLeadership(Version, *Record);
    return;
  }
  if (!HasNoLeader)
    follow(*Record, Others);
}

void ShardAgent::follow(const LeaderRecord &Record,
                        const Surroundings &Others) {
  Channel.setLeader(Record);
  if (isLinked(Others))
    LocalMember.connect(Record, !Home);
}

Duration ShardAgent::electionDelay(const Surroundings &Others) const {
  const double Largest = std::max(Others.LargestCpuShare, largestCpuShare());
  const double Share = Instance.CpuShare / (1 + Others.ShardsLed);
  const double Relative =
      Largest > 0 ? std::clamp(Share / Largest, 0.0, 1.0) : 1.0;
  return Duration(
      Duration::rep(double(MaxElectionDelay.count()) * (1 - Relative)));
}

void ShardAgent::acquireLeadership(std::int64_t Version,
                                   const LeaderRecord &Former) {
  if (Leaving || LocalLeader)
    return;
  LeaderRecord NewRecord;
  NewRecord.Term = Former.Term + 1;
  NewRecord.Sequence = 1;
  NewRecord.Process = Process;
  NewRecord.Instance = Instance;
  NewRecord.LargestCpuShare = largestCpuShare();
  NewRecord.Members = RecordedMembers;
  const TimePoint SentAt = Deps.Time.now();
  // The former record was stored before it was first read.
  NewRecord.Time =
      Former.Time.Epoch > 0
          ? ShardTime{Former.Time.Epoch,
                      Former.Time.Ms + (SentAt - ObservedSince).count()}
          : ShardTime{NewRecord.Term, 0};
  Transaction Changes;
  Changes.Partition = partitionOf(Shard);
  Changes.Conditions.push_back({LeaderTable, LeaderKey, Version});
  Changes.Changes.push_back({LeaderTable, LeaderKey, encode(NewRecord)});
  StoreCallInFlight = true;
  StoreCallSentAt = SentAt;
  Deps.Store.transact(Changes, Guard.wrap([this, NewRecord, SentAt](
                                              const TransactionResult &Result) {
    StoreCallInFlight = false;
    NextLeaderRead = Deps.Time.now();
    if (Result.Outcome == StoreOutcome::Done)
      becomeLeader(NewRecord, Result.Version, SentAt);
  }));
}

void ShardAgent::becomeLeader(const LeaderRecord &Record, std::int64_t Version,
                              TimePoint SentAt) {
  LocalLeader = std::make_unique<Leader>(
      Leader::Ports{Deps.Store, Deps.Records, Deps.Peers, Deps.Time,
                    Deps.WallTime, Deps.Log, Deps.Times, Owner.LayoutDecided},
      Shard, Record, Version, SentAt);
  if (Layout)
    LocalLeader->setLayout(*Layout);
  LocalLeader->setEvacuatedZones(EvacuatedZones);
  LocalLeader->setPolicy(Policy);
  Channel.setLeader(Record);
  LocalMember.connect(Record, !Home);
}

} // namespace apricotwing::cell
