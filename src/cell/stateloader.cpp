#include "cell/stateloader.h"

#include "cell/codec.h"
#include "cell/journal.h"

#include <utility>

namespace apricotwing::cell {

namespace {

/// Pause after a reading that failed.
constexpr Duration FailurePause{100};

/// How the end of a job is stored, by JobPhase; an active one has none.
constexpr std::string_view EndLetters = "acfx";

} // namespace

std::string endText(jobs::JobPhase Phase) {
  return std::string(1, EndLetters[std::size_t(Phase)]);
}

StateLoader::StateLoader(MetadataStore &Store, const Clock &Time, EventLog &Log,
                         Listener Owner)
    : Store(Store), Time(Time), Log(Log),
      Owner(std::move(Owner)), Tables{EndedTable, RosterTable, ProgressTable,
                                      JobTable} {}

void StateLoader::pump() {
  if (Tables.empty() || InFlight || Time.now() < RetryAt)
    return;
  InFlight = true;
  Store.read(Tables.back(), CellPart, NextKey,
             Life.guard([this](const ReadResult &Page) {
               InFlight = false;
               pageRead(Page);
             }));
}

void StateLoader::pageRead(const ReadResult &Page) {
  if (Page.Outcome != StoreOutcome::Done) {
    RetryAt = Time.now() + FailurePause;
    return;
  }
  for (const StoredRow &Row : Page.Rows)
    if (!takeRow(Row))
      Log.event("stored row unreadable", Row.Key, {{"table", Tables.back()}});
  if (Page.HasMore && !Page.Rows.empty()) {
    // The least key behind the last one.
    NextKey = Page.Rows.back().Key + '\x01';
    return;
  }
  NextKey.clear();
  const std::string Read = Tables.back();
  Tables.pop_back();
  if (Read == RosterTable)
    Owner.Loaded(std::exchange(State, {}));
  if (Tables.empty())
    Owner.AllRead();
}

bool StateLoader::takeRow(const StoredRow &Row) {
  const std::string &Table = Tables.back();
  if (Table == EndedTable)
    return takeEnd(Row);
  if (Table == JobTable) {
    auto Spec = decodeJobSpec(Row.Value);
    if (Spec)
      State.Jobs[Row.Key] = std::move(*Spec);
    return bool(Spec);
  }
  if (Table == ProgressTable) {
    auto Progress = decodeProgress(Row.Value);
    if (Progress)
      State.Progress[Row.Key] = std::move(*Progress);
    return bool(Progress);
  }
  const auto Roster = decodeRoster(Row.Value);
  if (Roster)
    State.Roster.insert(State.Roster.end(), Roster->begin(), Roster->end());
  return bool(Roster);
}

bool StateLoader::takeEnd(const StoredRow &Row) {
  const std::size_t Letter = Row.Value.empty() ? std::string_view::npos
                                               : EndLetters.find(Row.Value[0]);
  if (Letter == std::string_view::npos)
    return false;
  Owner.EndedJob(Row.Key, jobs::JobPhase(Letter));
  return true;
}

} // namespace apricotwing::cell
