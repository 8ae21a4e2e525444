#include "cell/journal.h"

#include "cell/codec.h"

#include <algorithm>

namespace apricotwing::cell {

namespace {

/// The store takes 100 entries a transaction; one is the leader record and
/// one its condition.
constexpr std::size_t MaxRows = 98;

/// The store takes 1 MB a transaction, of values in base64.
constexpr std::size_t MaxBytes = 600'000;

/// A commit without an answer for this long is checked by reading the record.
/// Usual commits take about 10 ms, those of a slow store up to 0.7 s.
constexpr Duration VerifyAfter{250};

/// Without an answer to a commit or to a reading for this long, the store is
/// taken for unreachable. A slow store answers within 0.7 s.
constexpr Duration SilentAfter{900};

/// Pause after a refusal by the store, which counts refused calls as well.
constexpr Duration RetryPause{60};

} // namespace

Journal::Journal(MetadataStore &Store, const Clock &Time, const Timing &Times,
                 LeaderRecord Own, std::int64_t Version, TimePoint SentAt)
    : Store(Store), Time(Time), Times(Times), Own(std::move(Own)),
      Version(Version), LeaseStart(SentAt), LastSent(SentAt) {}

Journal::Batch &Journal::openBatch(std::size_t Rows, std::size_t Bytes) {
  // A batch that was sent may be applied as it was, so it is not changed.
  const bool FirstWasSent = InFlight || Failing;
  const bool NeedsNew =
      Batches.empty() || (Batches.size() == 1 && FirstWasSent) ||
      Batches.back().Rows.size() + Rows > MaxRows ||
      (Batches.back().Bytes > 0 && Batches.back().Bytes + Bytes > MaxBytes);
  if (NeedsNew)
    Batches.emplace_back();
  return Batches.back();
}

void Journal::change(const std::vector<RowChange> &Together) {
  std::size_t Bytes = 0;
  for (const RowChange &Row : Together)
    Bytes += Row.Key.size() + (Row.Value ? Row.Value->size() : 0);
  Batch &Open = openBatch(Together.size(), Bytes);
  for (const RowChange &Row : Together)
    Open.Rows[{Row.Table, Row.Key}] = Row.Value;
  Open.Bytes += Bytes;
}

void Journal::put(const std::string &Table, const std::string &Key,
                  std::string Value) {
  change({{Table, Key, std::move(Value)}});
}

void Journal::remove(const std::string &Table, const std::string &Key) {
  change({{Table, Key, std::nullopt}});
}

void Journal::whenStored(std::function<void()> Then) {
  if (Batches.empty()) {
    Then();
    return;
  }
  Batches.back().Stored.push_back(std::move(Then));
}

void Journal::stepDown(const std::string &Successor) {
  SteppingDown = true;
  Own.Successor = Successor;
  pump();
}

bool Journal::isLeaseValid() const {
  return !Deposed && !SteppingDown &&
         Time.now() < LeaseStart + Times.LeaderLease;
}

Duration Journal::failingFor() const {
  // A store that is only slow answers the reading of the record, and another
  // instance would find it as slow.
  const bool Silent =
      InFlight && !VerifyAnswered && Time.now() - FirstSent > SilentAfter;
  return Failing || Silent ? Time.now() - FirstSent : Duration::zero();
}

void Journal::pump() {
  if (Deposed)
    return;
  const TimePoint Now = Time.now();
  // The answer of a commit can be lost although it took effect.
  if (InFlight && !Verifying && Now >= NextVerify)
    verify();
  if (InFlight || Verifying || Now < RetryAt)
    return;
  const bool HasChanges = !Batches.empty();
  if (HasChanges || SteppingDown || Now - LastSent >= Times.LeaderRenewal)
    commit(Now);
}

void Journal::commit(TimePoint Now) {
  if (Batches.empty())
    Batches.emplace_back();
  if (!Failing)
    FirstSent = Now;
  VerifyAnswered = false;
  LeaderRecord Next = Own;
  Next.Sequence = Own.Sequence + 1;
  if (SteppingDown && Batches.size() == 1)
    Next.Instance = InstanceInfo{};
  Transaction Changes;
  Changes.Partition = CellPart;
  Changes.Conditions.push_back({LeaderTable, LeaderKey, Version});
  Changes.Changes.push_back({LeaderTable, LeaderKey, encode(Next)});
  for (const auto &[Name, Value] : Batches.front().Rows)
    Changes.Changes.push_back({Name.first, Name.second, Value});
  InFlight = true;
  LastSent = Now;
  NextVerify = Now + VerifyAfter;
  Store.transact(Changes, Life.guard([this, Of = ++Attempt](
                                         const TransactionResult &Result) {
    if (Of != Attempt || !InFlight)
      return; // Its effect has been found out by reading.
    InFlight = false;
    committed(Result);
  }));
}

void Journal::committed(const TransactionResult &Result) {
  switch (Result.Outcome) {
  case StoreOutcome::Done:
    applied(Result.Version);
    return;
  case StoreOutcome::Conflict:
  case StoreOutcome::Unknown:
    Failing = true;
    if (!Verifying)
      verify();
    return;
  case StoreOutcome::Refused:
  case StoreOutcome::HistoryLost:
    Failing = true;
    RetryAt = Time.now() + RetryPause;
    return;
  }
}

void Journal::applied(std::int64_t NewVersion) {
  Version = NewVersion;
  ++Own.Sequence;
  LeaseStart = LastSent;
  InFlight = false;
  Failing = false;
  ++Commits;
  RowsWritten += Batches.front().Rows.size() + 1;
  // The record without an instance goes out with the last batch.
  if (SteppingDown && Batches.size() == 1)
    Deposed = true;
  const std::vector<std::function<void()>> Stored =
      std::move(Batches.front().Stored);
  Batches.pop_front();
  for (const auto &Then : Stored)
    Then();
  pump();
}

// Finds out whether the commit under way took effect. Only this process
// writes the record in this term, and a sequence number stands for one batch.
void Journal::verify() {
  Verifying = true;
  Store.read(LeaderTable, CellPart, LeaderKey,
             Life.guard([this](const ReadResult &Result) {
               Verifying = false;
               verified(Result);
             }));
}

void Journal::verified(const ReadResult &Result) {
  const TimePoint Now = Time.now();
  NextVerify = Now + VerifyAfter;
  VerifyAnswered = Result.Outcome == StoreOutcome::Done;
  if (!InFlight && !Failing)
    return; // The answer came while this was read.
  if (Result.Outcome != StoreOutcome::Done || Result.Rows.empty()) {
    if (!InFlight)
      RetryAt = Now + RetryPause;
    return;
  }
  const StoredRow &Row = Result.Rows.front();
  const auto Present = decodeLeaderRecord(Row.Value);
  if (!Present || Present->Term != Own.Term ||
      Present->Process != Own.Process) {
    Deposed = true;
    return;
  }
  if (Present->Sequence == Own.Sequence + 1) {
    applied(Row.Version);
    return;
  }
  if (InFlight)
    return;
  // Not applied yet. It is sent again under the condition of the version just
  // read, so that it takes effect at most once.
  Version = Row.Version;
  RetryAt = Now;
  pump();
}

} // namespace apricotwing::cell
