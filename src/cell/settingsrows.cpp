#include "cell/settingsrows.h"

#include "cell/codec.h"
#include "cell/journal.h"

#include <cstddef>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Size above which the settings of a row are divided, in bytes. Below the
/// largest change that is packed together with others.
constexpr std::size_t MaxSettingsBytes = 40'000;

/// Moves the second half of \p Whole to the end of \p Rest.
template <typename Item>
void moveHalf(std::vector<Item> &Whole, std::vector<Item> &Rest) {
  const auto Middle = Whole.begin() + std::ptrdiff_t((Whole.size() + 1) / 2);
  Rest.assign(Middle, Whole.end());
  Whole.erase(Middle, Whole.end());
}

/// Appends the values of the rows for \p Part, divided in halves until each is
/// small enough or has a single queue and account.
void appendValues(jobs::ClusterPolicy Part, std::vector<std::string> &Values) {
  std::string Text = encode(Part);
  if (Text.size() <= MaxSettingsBytes ||
      (Part.Queues.size() <= 1 && Part.Accounts.size() <= 1)) {
    Values.push_back(std::move(Text));
    return;
  }
  jobs::ClusterPolicy Rest;
  moveHalf(Part.Queues, Rest.Queues);
  moveHalf(Part.Accounts, Rest.Accounts);
  appendValues(std::move(Part), Values);
  appendValues(std::move(Rest), Values);
}

/// Earlier versions wrote all settings into the first row. If there are more,
/// they keep only those of the last row that they read.
std::string rowKey(std::size_t Number) {
  return Number == 0 ? SettingsKey
                     : std::string(SettingsKey) + "/" + std::to_string(Number);
}

} // namespace

bool SettingsRows::restore(const StoredRow &Row, jobs::ClusterPolicy &Into) {
  auto Settings = decodeSettings(Row.Value);
  if (!Settings)
    return false;
  Stored[Row.Key] = Row.Value;
  for (jobs::Queue &JobQueue : Settings->Queues)
    Into.Queues.push_back(std::move(JobQueue));
  for (jobs::ClientAccount &Account : Settings->Accounts)
    Into.Accounts.push_back(std::move(Account));
  return true;
}

std::vector<RowChange>
SettingsRows::update(const jobs::ClusterPolicy &Settings) {
  std::vector<std::string> Values;
  appendValues(Settings, Values);
  std::map<std::string, std::string> Rows;
  for (std::size_t Number = 0; Number < Values.size(); ++Number)
    Rows.emplace(rowKey(Number), std::move(Values[Number]));
  std::vector<RowChange> Changes;
  for (const auto &[Key, Value] : Rows)
    if (const auto Found = Stored.find(Key);
        Found == Stored.end() || Found->second != Value)
      Changes.push_back({SettingsTable, Key, Value});
  for (const auto &[Key, Value] : Stored)
    if (!Rows.contains(Key))
      Changes.push_back({SettingsTable, Key, std::nullopt});
  Stored = std::move(Rows);
  return Changes;
}

} // namespace apricotwing::cell
