#include "simcell.h"

#include "core/error.h"

#include <algorithm>

namespace apricotwing::simulation {

namespace {

constexpr Duration TickPeriod(500);
constexpr std::int64_t StepMs = 100;

/// Invariants I10 and I3: every serving instance uses a new configuration
/// within this time.
constexpr std::int64_t InForceMs = 12000;

constexpr std::int64_t PeerTimeoutMs = 500;
constexpr int MaxDepth = 2;
constexpr std::size_t TicksPerSnapshot = 8;

std::int64_t amountIn(const UnitAmounts &Amounts, const std::string &Unit) {
  const auto Found = Amounts.find(Unit);
  return Found == Amounts.end() ? 0 : Found->second;
}

} // namespace

Config initialConfig() {
  Config Initial;
  Initial.Version = 1;
  Initial.Teams["team"] = {};
  return Initial;
}

TimePoint SimClock::now() const {
  return TimePoint(
      Duration(OffsetMs + std::int64_t(double(World.TrueMs) * Rate)));
}

std::optional<PeerPromise> SimPeers::requestPromise(const std::string &Address,
                                                    const InstanceId &From,
                                                    Epoch SessionEpoch) {
  World.injectDelay(Caller);
  Process *Peer = World.find(Address);
  const auto Link = std::minmax(Caller, Address);
  if (!Peer || World.Paused.contains(Address) ||
      World.CutLinks.contains({Link.first, Link.second})) {
    World.TrueMs += PeerTimeoutMs;
    return std::nullopt;
  }
  const PeerPromise Answer =
      Peer->Session.handlePromiseRequest(From, SessionEpoch, Peer->Time.now());
  World.injectDelay(Caller);
  return Answer;
}

Process::Process(Cell &World, const std::string &Name, int Start, double Rate)
    : World(World), Name(Name), Time(World, Rate, std::int64_t(1000) * Start),
      Table(World.Store, Name, [&World, Name] { World.injectDelay(Name); }),
      Peers(World, Name), Ids(Name + "#" + std::to_string(Start)),
      Session(Table, Peers, World.Codec, Time, Ids,
              {Name, "caller:" + Name, Name, "z"}, World.Settings),
      Members(Table, World.Codec, Time, Ids, Session),
      Shards(Table, World.Objects, World.Codec, Ids, Session),
      Grants(Table, World.Codec, Ids), Holder(1),
      Ledger(Table, World.Codec, Time, Ids, Session) {}

void Process::step() {
  Busy = true;
  const TimePoint Now = Time.now();
  if (Now >= NextRound) {
    NextRound = Now + Session.settings().Renew;
    round();
  }
  if (Now >= NextTick) {
    NextTick = Now + TickPeriod;
    tick();
  }
  if (Leaving)
    shutDown();
  else
    sendRequests();
  Busy = false;
}

void Process::round() {
  const RoundReport Report = Session.renew();
  if (Report.LostSession) {
    Shards.forgetAll();
    Replayed.clear();
    Holder.reset();
  }
  try {
    if (Report.Outcome == RoundOutcome::NoConfig)
      Ledger.bootstrap(initialConfig());
    if (Report.Outcome != RoundOutcome::Renewed)
      return;
    Members.observe(*Session.view());
    for (const SessionId &Target : Members.fenceable(Time.now()))
      Members.fence(Target);
    poolRound();
    Members.removeFenced(Time.now());
  } catch (const Error &Failure) {
    if (Failure.kind() == ErrorKind::Internal)
      World.report(Failure.what());
  }
}

void Process::poolRound() {
  const SessionId Id = Session.sessionId();
  if (!Session.isValidFor(Id, Time.now()))
    return;
  if (GrantSession != Id)
    Holder.reset();
  GrantSession = Id;
  Grants.ensureCapacity(Cell::Pool, Cell::Capacity);
  Grants.reclaim(Cell::Pool, [&](const SessionId &Each) {
    return Members.mayReclaim(Each, Time.now());
  });
  const UnitAmounts Targets = Holder.beginRound(Time.now());
  if (!Targets.empty())
    Holder.endRound(Grants.adjust(Cell::Pool, toString(Id), Targets));
}

void Process::sendRequests() {
  if (!Session.isValidFor(GrantSession, Time.now()))
    return;
  for (const auto &[Unit, Amount] : Cell::Capacity) {
    if (World.random(6) != 0)
      continue;
    const std::optional<AcquiredAmount> Acquired = Holder.tryAcquire(Unit);
    if (!Acquired)
      continue;
    const bool Long = World.random(2) == 0;
    const double Deadline =
        Long ? double(Session.settings().RequestDeadline.count()) : 300;
    World.InFlight.push_back({Unit, GrantSession,
                              World.TrueMs + std::int64_t(Deadline / Time.Rate),
                              Acquired});
  }
}

void Process::tick() {
  for (const ShardId &Shard : Cell::ShardNames) {
    try {
      tickShard(Shard);
    } catch (const Error &Failure) {
      if (Failure.kind() == ErrorKind::Internal)
        World.report(Failure.what());
    }
  }
}

bool Process::tickShard(const ShardId &Shard) {
  if (Shards.isPending(Shard)) {
    recordTickResult(Shard, Shards.resolvePendingTick(Shard));
    return true;
  }
  if (!Shards.isOwner(Shard, Time.now())) {
    Replayed.erase(Shard);
    const bool ShouldTry = Shards.isPreferred(Shard) || World.random(4) == 0;
    return ShouldTry && !Leaving &&
           Shards.tryAcquire(Shard, Time.now()) == AcquireResult::Acquired;
  }
  if (!Replayed.contains(Shard)) {
    recover(Shard);
    return true;
  }
  std::vector<std::string> &State = Replayed[Shard];
  if (State.size() % TicksPerSnapshot == TicksPerSnapshot - 1) {
    ShardSnapshot Snapshot;
    for (const std::string &Event : State) {
      Snapshot.Runs.emplace_back();
      Snapshot.Runs.back().Run.Id = Event;
    }
    if (Shards.saveSnapshot(Shard, Snapshot) == TickResult::LostOwnership)
      return false;
  }
  const std::string Event =
      Name + toString(Session.sessionId()) + "-" + std::to_string(++Events);
  PendingEvent[Shard] = Event;
  TickCommit Tick;
  Tick.Events = {RunRetired{Event}};
  recordTickResult(Shard, Shards.commitTick(Shard, Tick));
  return true;
}

void Process::recordTickResult(const ShardId &Shard, TickResult Result) {
  const auto Event = PendingEvent.extract(Shard);
  if (Result == TickResult::LostOwnership || Event.empty())
    return;
  World.Acknowledged[Shard].insert(Event.mapped());
  if (Replayed.contains(Shard))
    Replayed[Shard].push_back(Event.mapped());
}

void Process::recover(const ShardId &Shard) {
  const ShardRecovery Found = Shards.recover(Shard);
  std::vector<std::string> State;
  if (Found.Snapshot)
    for (const RunSnapshot &Run : Found.Snapshot->Runs)
      State.push_back(Run.Run.Id);
  for (const JournalRecord &Entry : Found.Tail)
    for (const JournalEvent &Event : Entry.Events)
      State.push_back(std::get<RunRetired>(Event).Run);
  const std::set<std::string> Unique(State.begin(), State.end());
  const std::set<std::string> &Needed = World.Acknowledged[Shard];
  if (Shards.isOwner(Shard, Time.now()) &&
      (Unique.size() != State.size() ||
       !std::includes(Unique.begin(), Unique.end(), Needed.begin(),
                      Needed.end())))
    World.report("recovery of " + Shard + " lost or repeated a commit");
  Replayed[Shard] = State;
}

void Process::shutDown() {
  Session.leave();
  const bool InUse = std::any_of(World.InFlight.begin(), World.InFlight.end(),
                                 [&](const InFlightRequest &Each) {
                                   return Each.Session == GrantSession;
                                 });
  if (InUse)
    return;
  try {
    for (const ShardId &Shard : Shards.ownedShards())
      Shards.release(Shard);
    Holder.reset();
    Grants.releaseAll(Cell::Pool, toString(GrantSession));
    Session.remove();
    Removed = true;
  } catch (const Error &) {
    return; // The next step retries.
  }
}

Cell::Cell(std::uint32_t Seed) : Source(Seed) {
  Store.OnCommit = [this](const Transaction &Change) { checkCommit(Change); };
}

Process *Cell::start(const std::string &Name) {
  if (Processes.contains(Name))
    return nullptr;
  ++Starts;
  // The rates of any two clocks differ by less than 1%.
  const double Rate = 0.9955 + 0.003 * double(Starts % 4);
  Processes[Name] = std::make_unique<Process>(*this, Name, Starts, Rate);
  return Processes[Name].get();
}

void Cell::crash(const std::string &Name) {
  Processes.erase(Name);
  Paused.erase(Name);
}

Process *Cell::find(const std::string &Name) {
  const auto Found = Processes.find(Name);
  return Found == Processes.end() ? nullptr : Found->second.get();
}

bool Cell::isRunning(const std::string &Name) const {
  return Processes.contains(Name) && !Paused.contains(Name);
}

void Cell::report(const std::string &What) {
  if (Violation.empty())
    Violation = std::to_string(TrueMs) + " ms: " + What;
}

void Cell::run(Duration Span) {
  const std::int64_t End = TrueMs + Span.count();
  while (TrueMs < End) {
    TrueMs += StepMs;
    stepAll();
    checkOracle();
    if (Depth == 0)
      std::erase_if(Processes,
                    [](const auto &Entry) { return Entry.second->Removed; });
  }
}

void Cell::stepAll() {
  while (!InFlight.empty()) {
    const auto Ended = std::find_if(
        InFlight.begin(), InFlight.end(),
        [&](const InFlightRequest &F) { return F.EndsMs <= TrueMs; });
    if (Ended == InFlight.end())
      break;
    if (Process *Sender = find(Ended->Session.Instance))
      if (Sender->GrantSession == Ended->Session)
        Sender->Holder.release(*Ended->Acquired);
    InFlight.erase(Ended);
  }
  for (const auto &[Name, Each] : Processes)
    if (isRunning(Name) && !Each->Busy && !Each->Removed)
      Each->step();
}

void Cell::injectDelay(const std::string &Caller) {
  if (Depth >= MaxDepth)
    return;
  int Span = Depth == 0 ? SlowMs : 0;
  if (const auto Stall = StallMs.find(Caller);
      Stall != StallMs.end() && random(4) == 0) {
    Span += Stall->second;
    StallMs.erase(Stall);
  } else if (Interleave && random(16) == 0) {
    Span += random(400);
  }
  if (Span == 0)
    return;
  ++Depth;
  run(Duration(Span));
  --Depth;
}

std::optional<Row> Cell::rowIn(const Transaction &Change,
                               const std::string &Key) {
  const bool Writes = std::any_of(
      Change.Writes.begin(), Change.Writes.end(),
      [&](const RowWrite &Each) { return Each.Key == Key && Each.Value; });
  if (!Writes)
    return std::nullopt;
  return Store.Rows.at(Key);
}

void Cell::checkCommit(const Transaction &Change) {
  if (const auto Written = rowIn(Change, keys::ConfigCurrent))
    checkConfig(*Written, Change);
  if (const auto Written = rowIn(Change, Pool)) {
    const PoolRecord Record = Codec.decodePool(Written->Value);
    for (const auto &[Unit, Limit] : Capacity) {
      std::int64_t Sum = 0;
      for (const auto &[Holder, Amounts] : Record.Grants)
        Sum += amountIn(Amounts, Unit);
      if (Sum > Limit)
        report("grants of " + Unit + " sum up to " + std::to_string(Sum));
    }
  }
  for (const ShardId &Shard : ShardNames) {
    const auto Written = rowIn(Change, keys::shard(Shard));
    if (!Written)
      continue;
    const ShardRecord Record = Codec.decodeShard(Written->Value);
    ShardRecord &Last = LastShard[Shard];
    const bool Journal = Record.NextSequence != Last.NextSequence;
    if (Journal && Record.NextSequence != Last.NextSequence + 1)
      report("the journal of " + Shard + " has a gap");
    if (Journal &&
        (Record.Owner != Last.Owner || Record.ShardEpoch != Last.ShardEpoch))
      report("a commit to " + Shard + " by an instance that is not its owner");
    if (Record.ShardEpoch < Last.ShardEpoch)
      report("the epoch of " + Shard + " decreased");
    Last = Record;
  }
}

void Cell::checkConfig(const Row &Written, const Transaction &Change) {
  const Config Document = Codec.decodeConfig(Written.Value);
  const std::uint64_t Newest =
      AcceptedMs.empty() ? 0 : AcceptedMs.rbegin()->first;
  if (Document.Version != Newest + 1)
    report("version " + std::to_string(Document.Version) + " follows " +
           std::to_string(Newest));
  AcceptedMs[Document.Version] = TrueMs;
  if (!Document.Keys.contains("k"))
    RevokedMs[Document.Version] = TrueMs;
  const auto Entry = rowIn(Change, keys::history(Document.Version));
  const HistoryRecord History =
      Entry ? Codec.decodeHistory(Entry->Value) : HistoryRecord();
  if (Document.Version > 1 &&
      (History.ProposedBy == History.SignedBy || History.SignedBy.empty()))
    report("a configuration that was not signed by both owners");
}

void Cell::checkOracle() {
  for (const auto &[Name, Each] : Processes)
    if (!Paused.contains(Name))
      checkServedConfig(*Each);
  checkOwners();
  checkGrants();
}

void Cell::checkServedConfig(Process &Each) {
  const auto Served = Each.Session.config();
  if (Served) {
    if (Served->Version < Each.NewestSeen)
      report(Each.Name + " returned to an older configuration");
    Each.NewestSeen = Served->Version;
  }
  if (!Each.Session.isValid(Each.Time.now()))
    return;
  if (!Served)
    return report(Each.Name + " serves without a configuration");
  const auto Next = AcceptedMs.upper_bound(Served->Version);
  if (Next != AcceptedMs.end() && TrueMs - Next->second > InForceMs)
    report(Each.Name + " serves an outdated configuration");
  const auto Revoked = RevokedMs.upper_bound(Served->Version);
  if (Served->teamOfKeyHash(KeyHash) && Revoked != RevokedMs.end() &&
      TrueMs - Revoked->second > InForceMs)
    report(Each.Name + " accepts a revoked key");
}

void Cell::checkOwners() {
  for (const ShardId &Shard : ShardNames) {
    const auto Owners = std::count_if(
        Processes.begin(), Processes.end(), [&](const auto &Entry) {
          return Entry.second->Shards.isOwner(Shard, Entry.second->Time.now());
        });
    if (Owners > 1)
      report(Shard + " has two valid owners");
  }
}

void Cell::checkGrants() {
  for (const auto &[Unit, Limit] : Capacity) {
    std::map<SessionId, std::int64_t> Usable;
    for (const InFlightRequest &Each : InFlight)
      if (Each.Unit == Unit && Each.EndsMs > TrueMs)
        ++Usable[Each.Session];
    for (const auto &[Name, Each] : Processes)
      if (Each->Session.isValidFor(Each->GrantSession, Each->Time.now())) {
        std::int64_t &Amount = Usable[Each->GrantSession];
        Amount = std::max(Amount, Each->Holder.usable(Unit));
      }
    std::int64_t Sum = 0;
    for (const auto &[Session, Amount] : Usable)
      Sum += Amount;
    if (Sum > Limit)
      report("usable grants of " + Unit + " sum up to " + std::to_string(Sum));
  }
}

} // namespace apricotwing::simulation
