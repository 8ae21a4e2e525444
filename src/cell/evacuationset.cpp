#include "cell/evacuationset.h"

namespace apricotwing::cell {

void EvacuationSet::replace(const std::vector<StoredRow> &Rows,
                            std::int64_t NewVersion) {
  if (NewVersion < ReadVersion)
    return;
  ReadVersion = NewVersion;
  std::erase_if(Changes, [NewVersion](const auto &Entry) {
    return Entry.second.Version <= NewVersion;
  });
  for (const StoredRow &Row : Rows)
    apply(Row);
}

void EvacuationSet::update(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows)
    if (Row.Version > ReadVersion)
      apply(Row);
}

void EvacuationSet::apply(const StoredRow &Row) {
  const auto Zone = Records.decodeEvacuation(Row);
  if (!Zone)
    return;
  LastChange &Known = Changes[*Zone];
  if (Row.Version > Known.Version)
    Known = {Row.Version, Row.Deleted};
}

std::set<std::string> EvacuationSet::zones() const {
  std::set<std::string> Result;
  for (const auto &[Zone, Change] : Changes)
    if (!Change.Removed)
      Result.insert(Zone);
  return Result;
}

} // namespace apricotwing::cell
