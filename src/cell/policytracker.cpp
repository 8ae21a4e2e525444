#include "cell/policytracker.h"

#include <algorithm>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Maximum time that a watch of the policy waits for a change. A new policy
/// must be in force within 2 s after it was written.
constexpr Duration PolicyWatchTimeout{800};
constexpr Duration PolicyWatchInterval{20};

/// How long a failed call to the store counts as a sign that it cannot be
/// reached. Failed calls are repeated more often.
constexpr Duration FailureRetention{1500};

/// Time in which the watches of all instances usually report a new policy. An
/// instance that is behind for longer reads the changes.
constexpr Duration MaxPropagationTime{150};

/// Minimum interval between two reads of changes, so that many calls without a
/// known queue or key do not use up the rate of the store.
constexpr Duration MinReadInterval{50};

/// The changes are read at this interval while the watch has no response, for
/// the first time once it has been due for this long. A slow store responds
/// about 0.3 s late.
constexpr Duration OverdueReadInterval{400};

} // namespace

PolicyTracker::PolicyTracker(const Ports &Deps, std::string JitterSeed,
                             Receivers Owner)
    : Deps(Deps), Owner(std::move(Owner)), Table(Deps.Records.policyTable()),
      InForceSince(Deps.Time.now()), Evacuations(Deps.Records),
      Watcher(
          Deps.Store, Deps.Time, Table, {""}, PolicyWatchInterval,
          PolicyWatchTimeout, std::move(JitterSeed),
          {[this](const std::vector<StoredRow> &Rows) {
             onTable(Rows, Watcher.version());
           },
           [this](const std::vector<StoredRow> &Rows) { onChanges(Rows); }}) {}

void PolicyTracker::pump() {
  Watcher.pump();
  const TimePoint Now = Deps.Time.now();
  const bool IsBehind =
      ExpectedVersion > Version && Now >= ExpectedSince + MaxPropagationTime;
  const bool IsOverdue = Watcher.overdue() > OverdueReadInterval;
  const bool MayReadAgain = Now >= LastReadSentAt + OverdueReadInterval;
  if (!Waiting.empty() || ((IsBehind || IsOverdue) && MayReadAgain))
    readChanges();
}

void PolicyTracker::expect(std::int64_t Newer) {
  if (Newer <= std::max(Version, ExpectedVersion))
    return;
  ExpectedVersion = Newer;
  ExpectedSince = Deps.Time.now();
}

bool PolicyTracker::isUncertain() const {
  const TimePoint Failure = std::max(Watcher.lastFailure(), LastReadFailure);
  return viewAge() > MaxViewAge && Deps.Time.now() - Failure > FailureRetention;
}

Duration PolicyTracker::viewAge() const {
  return Deps.Time.now() - knownUntil();
}

TimePoint PolicyTracker::knownUntil() const {
  return std::max(Watcher.knownUntil(), KnownUntil);
}

void PolicyTracker::confirm(std::function<void(bool)> Callback) {
  Waiting.push_back(std::move(Callback));
}

void PolicyTracker::readChanges() {
  const TimePoint Now = Deps.Time.now();
  if (Reading || Now < LastReadSentAt + MinReadInterval)
    return;
  Reading = true;
  LastReadSentAt = Now;
  WaitingInRead = std::exchange(Waiting, {});
  readSince(Watcher.version());
}

void PolicyTracker::readSince(std::int64_t After) {
  Deps.Store.readChanges(Table, After,
                         Guard.wrap([this, After](const ReadResult &Result) {
                           if (Result.Outcome == StoreOutcome::HistoryLost)
                             readSince(-1);
                           else
                             onRead(Result, After < 0);
                         }));
}

// A result of which there is more counts as failed, so one that begins with the
// first row has the whole table.
void PolicyTracker::onRead(const ReadResult &Result, bool IsWhole) {
  Reading = false;
  const bool Done = Result.Outcome == StoreOutcome::Done && !Result.HasMore;
  if (Done) {
    KnownUntil = LastReadSentAt;
    if (IsWhole)
      onTable(Result.Rows, Result.Version);
    else
      onChanges(Result.Rows);
  } else {
    LastReadFailure = Deps.Time.now();
  }
  for (const auto &Callback : std::exchange(WaitingInRead, {}))
    Callback(Done);
}

std::optional<Duration> PolicyTracker::storeAnswerAge() const {
  if (Watcher.lastAnswer() == TimePoint{})
    return std::nullopt;
  return Deps.Time.now() - Watcher.lastAnswer();
}

std::optional<TimePoint> PolicyTracker::lastStoreResponse() const {
  if (!Watcher.isHealthy())
    return std::nullopt;
  return Watcher.lastAnswer();
}

void PolicyTracker::onTable(const std::vector<StoredRow> &Rows,
                            std::int64_t ReadVersion) {
  Evacuations.replace(Rows, ReadVersion);
  announceZones();
  applyPolicy(Rows);
}

void PolicyTracker::onChanges(const std::vector<StoredRow> &Rows) {
  Evacuations.update(Rows);
  announceZones();
  applyPolicy(Rows);
}

void PolicyTracker::announceZones() {
  std::set<std::string> Zones = Evacuations.zones();
  if (Zones == Evacuated)
    return;
  Evacuated = std::move(Zones);
  Owner.EvacuatedZones(Evacuated);
}

void PolicyTracker::applyPolicy(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows) {
    // The same change may be reported by the watch and by a read.
    if (Row.Deleted || Row.Version <= RowVersion)
      continue;
    const auto NewPolicy = Deps.Records.decodePolicy(Row);
    if (!NewPolicy)
      continue;
    RowVersion = Row.Version;
    if (NewPolicy->Version <= Version)
      continue;
    Deps.Log.event("policy in force", "",
                   {{"version", std::to_string(NewPolicy->Version)},
                    {"before", std::to_string(Version)},
                    {"before_age_ms", std::to_string(age().count())}});
    Version = NewPolicy->Version;
    InForceSince = Deps.Time.now();
    Owner.Policy(*NewPolicy);
  }
}

} // namespace apricotwing::cell
