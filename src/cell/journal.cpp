#include "cell/journal.h"

#include "cell/codec.h"

#include <algorithm>

namespace apricotwing::cell {

namespace {

/// Limits of the changes in a commit. The store accepts 1 MB per transaction,
/// with values in base64.
constexpr std::size_t MaxChanges = 1500;
constexpr std::size_t MaxBytes = 400'000;

/// Rows that were changed in packed form are brought up to date only while
/// commits take less than this.
constexpr Duration FastCommit{150};

/// Numbers of commits of a term, which order the packed rows of all terms.
constexpr std::uint64_t CommitsPerTerm = 1'000'000'000;

/// If a commit gets no response for this long, the leader record is read to
/// find out whether it was applied. A commit normally takes about 10 ms, with a
/// slow store up to 0.7 s.
constexpr Duration ReadBackDelay{250};

/// The store is considered unreachable if it has answered neither a commit nor
/// a read for this long. A slow store answers within 0.7 s.
constexpr Duration UnresponsiveAfter{900};

/// Delay after a call that the store rejected. Rejected calls count towards
/// the store's call limit, too.
constexpr Duration RetryDelay{60};

/// Delay after a commit that the store will never accept.
constexpr Duration InvalidCommitDelay{1000};

} // namespace

std::string partitionOf(int Shard) {
  return Shard == 0 ? "cell" : "cell-" + std::to_string(Shard);
}

Journal::Journal(MetadataStore &Store, const Clock &Time, EventLog &Events,
                 const Timing &Times, std::string Partition,
                 LeaderRecord Record, std::int64_t Version, TimePoint SentAt)
    : Store(Store), Time(Time), Events(Events), Times(Times),
      Partition(std::move(Partition)), Record(std::move(Record)),
      FirstTime(this->Record.Time), TermStart(SentAt), Version(Version),
      LeaseStart(SentAt), LastSent(SentAt) {}

Journal::Batch &Journal::openBatch(std::size_t Rows, std::size_t Bytes) {
  // A batch that was sent may still be applied, so nothing can be added to it.
  const bool FirstWasSent = InFlight || Failing;
  const bool NeedsNew =
      Batches.empty() || (Batches.size() == 1 && FirstWasSent) ||
      Batches.back().Rows.size() + Rows > MaxChanges ||
      (Batches.back().Bytes > 0 && Batches.back().Bytes + Bytes > MaxBytes);
  if (NeedsNew)
    Batches.emplace_back();
  return Batches.back();
}

void Journal::write(const std::vector<RowChange> &Changes) {
  for (auto Next = Changes.begin(); Next != Changes.end();) {
    std::size_t Bytes = 0;
    auto End = Next;
    do {
      Bytes += packedSize(*End);
      ++End;
    } while (End != Changes.end() && std::size_t(End - Next) < MaxChanges &&
             Bytes + packedSize(*End) <= MaxBytes);
    Batch &Open = openBatch(std::size_t(End - Next), Bytes);
    for (; Next != End; ++Next)
      Open.Rows[{Next->Table, Next->Key}] = Next->Value;
    Open.Bytes += Bytes;
  }
}

void Journal::put(const std::string &Table, const std::string &Key,
                  std::string Value) {
  write({{Table, Key, std::move(Value)}});
}

bool Journal::isCommitDue() const {
  if (Batches.empty())
    return Time.now() - LastSent >= Times.LeaderRenewInterval;
  return Batches.size() > 1 || !(InFlight || Failing);
}

void Journal::remove(const std::string &Table, const std::string &Key) {
  write({{Table, Key, std::nullopt}});
}

void Journal::whenCommitted(std::function<void()> Callback) {
  if (Batches.empty()) {
    Callback();
    return;
  }
  Batches.back().OnCommitted.push_back(std::move(Callback));
}

void Journal::stepDown(const std::string &Successor) {
  SteppingDown = true;
  Record.Successor = Successor;
  pump();
}

bool Journal::isLeaseValid() const {
  return !Deposed && !SteppingDown &&
         Time.now() < LeaseStart + Times.LeaderLease;
}

Duration Journal::failureDuration() const {
  // A slow store still answers reads of the leader record, and would be as slow
  // for any other instance.
  const bool Unresponsive = InFlight && !ReadBackAnswered &&
                            Time.now() - FirstSent > UnresponsiveAfter;
  return Failing || Unresponsive ? Time.now() - FirstSent : Duration::zero();
}

void Journal::pump() {
  if (Deposed)
    return;
  const TimePoint Now = Time.now();
  // The response to a commit can be lost although the commit was applied.
  if (InFlight && !ReadingBack && Now >= NextReadBack)
    readBack();
  if (InFlight || ReadingBack || Now < RetryAt)
    return;
  const bool HasChanges =
      !Batches.empty() || (Log.isActive() && LastLatency < FastCommit);
  if (HasChanges || SteppingDown || Now - LastSent >= Times.LeaderRenewInterval)
    commit(Now);
}

void Journal::commit(TimePoint Now) {
  if (Batches.empty())
    Batches.emplace_back();
  if (!Failing)
    FirstSent = Now;
  ReadBackAnswered = false;
  LeaderRecord NewRecord = Record;
  NewRecord.Sequence = Record.Sequence + 1;
  NewRecord.Time = timeAt(Now);
  ClearsLeader = SteppingDown && Batches.size() == 1;
  if (ClearsLeader)
    NewRecord.Instance = InstanceInfo{};
  Transaction Changes;
  Changes.Partition = Partition;
  Changes.Conditions.push_back({LeaderTable, LeaderKey, Version});
  Changes.Changes.push_back({LeaderTable, LeaderKey, encode(NewRecord)});
  std::optional<ChangeLog::Plan> &Plan = Batches.front().Sent;
  if (!Plan)
    Plan = Log.plan(Batches.front().Rows,
                    std::uint64_t(Record.Term) * CommitsPerTerm +
                        std::uint64_t(NewRecord.Sequence),
                    LastLatency < FastCommit);
  Changes.Changes.insert(Changes.Changes.end(), Plan->Writes.begin(),
                         Plan->Writes.end());
  InFlight = true;
  LastSent = Now;
  NextReadBack = Now + ReadBackDelay;
  WasInvalid = false;
  Store.transact(Changes, Guard.wrap([this, ThisAttempt = ++Attempt](
                                         const TransactionResult &Result) {
    if (ThisAttempt != Attempt || !InFlight)
      return; // The outcome was already determined by reading the leader
              // record.
    InFlight = false;
    onCommitResult(Result);
  }));
}

void Journal::onCommitResult(const TransactionResult &Result) {
  switch (Result.Outcome) {
  case StoreOutcome::Done:
    onCommitted(Result.Version);
    return;
  case StoreOutcome::Conflict:
  case StoreOutcome::Unknown:
    Failing = true;
    if (!ReadingBack)
      readBack();
    return;
  case StoreOutcome::Invalid:
    Failing = true;
    WasInvalid = true;
    RetryAt = Time.now() + InvalidCommitDelay;
    logInvalidCommit();
    if (!ReadingBack)
      readBack();
    return;
  case StoreOutcome::Refused:
  case StoreOutcome::HistoryLost:
    Failing = true;
    RetryAt = Time.now() + RetryDelay;
    return;
  }
}

// The shard stops until another leader continues with what is stored.
void Journal::logInvalidCommit() const {
  const std::vector<RowChange> &Writes = Batches.front().Sent->Writes;
  std::size_t Bytes = 0;
  RowChange Largest;
  for (const RowChange &Row : Writes) {
    const std::size_t Size = Row.Value ? Row.Value->size() : 0;
    Bytes += Size;
    if (Size >= (Largest.Value ? Largest.Value->size() : 0))
      Largest = Row;
  }
  Events.event(
      "commit refused for good", Largest.Key,
      {{"table", Largest.Table},
       {"row_bytes", std::to_string(Largest.Value.value_or("").size())},
       {"partition", Partition},
       {"rows", std::to_string(Writes.size())},
       {"bytes", std::to_string(Bytes)},
       {"failing_ms", std::to_string(failureDuration().count())}});
}

void Journal::countCommit(const ChangeLog::Plan &Sent) {
  ++Counts.Commits;
  Counts.Rows += Sent.Writes.size() + 1;
  Counts.Latency += LastLatency;
  Counts.PackedRows += Sent.PackedKeys.size();
  for (const RowChange &Row : Sent.Writes)
    Counts.Bytes += Row.Value ? Row.Value->size() : 0;
}

void Journal::onCommitted(std::int64_t NewVersion) {
  Version = NewVersion;
  ++Record.Sequence;
  LeaseStart = LastSent;
  InFlight = false;
  Failing = false;
  LastLatency = Time.now() - FirstSent;
  Log.apply(*Batches.front().Sent);
  ++Commits;
  RowsWritten += Batches.front().Sent->Writes.size() + 1;
  countCommit(*Batches.front().Sent);
  Deposed = ClearsLeader;
  const std::vector<std::function<void()>> OnCommitted =
      std::move(Batches.front().OnCommitted);
  Batches.pop_front();
  for (const auto &Callback : OnCommitted)
    Callback();
  pump();
}

// Reads the leader record to find out whether the commit in flight was applied.
// This is conclusive because only this process writes the record in this term
// and each sequence number belongs to one batch.
void Journal::readBack() {
  ReadingBack = true;
  Store.read(LeaderTable, Partition, LeaderKey, 1,
             Guard.wrap([this](const ReadResult &Result) {
               ReadingBack = false;
               onReadBack(Result);
             }));
}

void Journal::onReadBack(const ReadResult &Result) {
  const TimePoint Now = Time.now();
  NextReadBack = Now + ReadBackDelay;
  ReadBackAnswered = Result.Outcome == StoreOutcome::Done;
  if (!InFlight && !Failing)
    return; // The response arrived during the read.
  if (Result.Outcome != StoreOutcome::Done || Result.Rows.empty()) {
    if (!InFlight)
      RetryAt = std::max(RetryAt, Now + RetryDelay);
    return;
  }
  const StoredRow &Row = Result.Rows.front();
  const auto StoredRecord = decodeLeaderRecord(Row.Value);
  if (!StoredRecord || StoredRecord->Term != Record.Term ||
      StoredRecord->Process != Record.Process) {
    Deposed = true;
    return;
  }
  if (StoredRecord->Sequence == Record.Sequence + 1) {
    // Any attempt may have been applied, also one before the step-down.
    ClearsLeader = StoredRecord->Instance.Name.empty();
    onCommitted(Row.Version);
    return;
  }
  if (InFlight)
    return;
  // Not applied yet. It is sent again on the condition of the version just
  // read, so that it is applied at most once.
  Version = Row.Version;
  if (!WasInvalid)
    RetryAt = Now;
  pump();
}

} // namespace apricotwing::cell
