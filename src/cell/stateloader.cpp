#include "cell/stateloader.h"

#include "cell/codec.h"
#include "cell/journal.h"

#include <iterator>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Delay before a failed read is repeated.
constexpr Duration RetryDelay{100};

/// Reads that take longer than this are logged.
constexpr Duration SlowRead{250};

/// Stored code of the final phase of a job, indexed by JobPhase. The code of
/// an active job is never stored.
constexpr std::string_view PhaseLetters = "acfxw";

} // namespace

std::string encodeEndPhase(jobs::JobPhase Phase) {
  return std::string(1, PhaseLetters[std::size_t(Phase)]);
}

StateLoader::StateLoader(MetadataStore &Store, const Clock &Time, EventLog &Log,
                         std::string Partition, bool ReadsUsage,
                         Callbacks Owner)
    : Store(Store), Time(Time), Log(Log), Partition(std::move(Partition)),
      Owner(std::move(Owner)), Tables{EndedTable,    RosterTable, LayoutTable,
                                      ProgressTable, JobTable,    SettingsTable,
                                      PackedTable} {
  // Read before the jobs, whose places in the order depend on it.
  if (ReadsUsage)
    Tables.insert(std::prev(Tables.end()), UsageTable);
}

void StateLoader::pump() {
  if (Tables.empty() || InFlight || Time.now() < RetryAt)
    return;
  InFlight = true;
  SentAt = Time.now();
  Store.read(Tables.back(), Partition, NextKey, Pages.rows(),
             Guard.wrap([this](const ReadResult &Page) {
               InFlight = false;
               onPage(Page);
             }));
}

void StateLoader::onPage(const ReadResult &Page) {
  if (Page.Outcome != StoreOutcome::Done) {
    ++FailedReads;
    RetryAt = Time.now() + RetryDelay;
    if (Page.Outcome == StoreOutcome::Unknown)
      Pages.onTimeout();
    logPage("state read failed", Page);
    return;
  }
  const Duration Elapsed = Time.now() - SentAt;
  const bool IsLast = !Page.HasMore || Page.Rows.empty();
  Pages.onPage(Page.Rows.size(), IsLast, Elapsed);
  if (Elapsed >= SlowRead)
    logPage("state read slow", Page);
  loadPage(Page.Rows);
  if (!IsLast) {
    // The smallest key that sorts after the last key of this page.
    NextKey = Page.Rows.back().Key + '\x01';
    return;
  }
  NextKey.clear();
  finishTable();
}

void StateLoader::logPage(std::string_view Event,
                          const ReadResult &Page) const {
  Log.event(
      Event, Partition,
      {{"table", Tables.back()},
       {"from", NextKey},
       {"outcome", std::string(enumName(StoreOutcomeNames, Page.Outcome))},
       {"rows", std::to_string(Page.Rows.size())},
       {"bytes", std::to_string(Page.ReceivedBytes)},
       {"took_ms", std::to_string((Time.now() - SentAt).count())}});
}

void StateLoader::loadPage(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows) {
    if (PackedChanges.contains({Tables.back(), Row.Key}))
      continue; // The row is outdated.
    if (!loadRow(Row))
      Log.event("invalid stored row", Row.Key, {{"table", Tables.back()}});
  }
}

void StateLoader::finishTable() {
  const std::string Read = Tables.back();
  std::vector<StoredRow> Changed;
  for (const auto &[Name, Value] : PackedChanges)
    if (Name.first == Read && Value)
      Changed.push_back({Read, Name.second, *Value});
  std::erase_if(PackedChanges, [&Read](const auto &Entry) {
    return Entry.first.first == Read;
  });
  loadPage(Changed);
  Tables.pop_back();
  if (Read == PackedTable) {
    PackedChanges = Packed.pendingChanges();
    Owner.PackedRead(std::exchange(Packed, {}));
  }
  if (Read == RosterTable)
    Owner.Loaded(std::exchange(State, {}));
  if (Tables.empty())
    Owner.AllRead();
}

bool StateLoader::loadRow(const StoredRow &Row) {
  const std::string &Table = Tables.back();
  if (Table == PackedTable)
    return Packed.restore(Row);
  if (Table == EndedTable)
    return loadEndedJob(Row);
  if (Table == JobTable) {
    auto Spec = decodeJobSpec(Row.Value);
    if (Spec)
      State.Jobs[Row.Key] = std::move(*Spec);
    return bool(Spec);
  }
  if (Table == ProgressTable)
    return State.JobRows.restore(Row, State.Progress);
  if (Table == SettingsTable)
    return State.SettingRows.restore(Row, State.Settings);
  if (Table == UsageTable) {
    State.Usage = decodeUsage(Row.Value);
    return bool(State.Usage);
  }
  if (Table == LayoutTable) {
    State.Layout = decodeShardLayout(Row.Value);
    return bool(State.Layout);
  }
  const auto Roster = decodeRoster(Row.Value);
  if (Roster)
    State.Roster.insert(State.Roster.end(), Roster->begin(), Roster->end());
  return bool(Roster);
}

bool StateLoader::loadEndedJob(const StoredRow &Row) {
  const std::size_t Letter = Row.Value.empty()
                                 ? std::string_view::npos
                                 : PhaseLetters.find(Row.Value[0]);
  if (Letter == std::string_view::npos)
    return false;
  Owner.EndedJob(Row.Key, jobs::JobPhase(Letter));
  return true;
}

} // namespace apricotwing::cell
