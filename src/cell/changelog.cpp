#include "cell/changelog.h"

#include "cell/codec.h"
#include "cell/journal.h"

#include <algorithm>
#include <cstdio>

namespace apricotwing::cell {

namespace {

/// Size of the changes in a packed row, which holds at least one.
constexpr std::size_t MaxPackedBytes = 40'000;

/// Brackets, quotes and commas around a change in a packed row.
constexpr std::size_t PackedOverhead = 12;

/// Limits of the rows that one transaction brings up to date.
constexpr std::size_t MaxUpdatedRows = 70;
constexpr std::size_t MaxUpdatedBytes = 120'000;

/// True if the leaders of other shards read the row.
bool isShared(const RowName &Name) { return Name.first == TransferTable; }

std::size_t sizeOf(const RowName &Name,
                   const std::optional<std::string> &Value) {
  return Name.first.size() + Name.second.size() + (Value ? Value->size() : 0);
}

/// Number of bytes that \p Text has as a JSON string. Precondition: it has no
/// control characters.
std::size_t quotedSize(const std::string &Text) {
  return Text.size() + std::size_t(std::count(Text.begin(), Text.end(), '"') +
                                   std::count(Text.begin(), Text.end(), '\\'));
}

/// Returns a key that sorts by the number of the commit and then by \p Index.
std::string packedKey(std::uint64_t Number, std::size_t Index) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%020llu-%03zu",
                static_cast<unsigned long long>(Number), Index);
  return Text;
}

} // namespace

std::size_t packedSize(const RowChange &Change) {
  const std::size_t Name =
      PackedOverhead + Change.Table.size() + Change.Key.size();
  if (!Change.Value)
    return Name;
  return Name + (Change.Value->size() > MaxQuotedBytes
                     ? Change.Value->size()
                     : quotedSize(*Change.Value));
}

ChangeLog::Plan ChangeLog::plan(const RowChanges &Changes, std::uint64_t Number,
                                bool MayUpdate) const {
  Plan Result;
  Result.Number = Number;
  const bool FitsUnpacked = !isActive() && Changes.size() <= MaxRows;
  if (FitsUnpacked) {
    for (const auto &[Name, Value] : Changes)
      Result.Writes.push_back({Name.first, Name.second, Value});
    return Result;
  }
  if (MayUpdate && planCompletion(Changes, Result))
    return Result;
  planPackedRows(Changes, Result);
  if (MayUpdate)
    planUpdates(Result);
  return Result;
}

// Plans a transaction that brings all rows up to date and removes all packed
// rows. Returns false if it would be too large.
bool ChangeLog::planCompletion(const RowChanges &Changes, Plan &Result) const {
  if (Changes.size() + PackedRows.size() > MaxRows)
    return false;
  RowChanges All = Changes;
  std::size_t Bytes = 0;
  for (const auto &[Name, Change] : PendingRows) {
    if (All.emplace(Name, Change.Value).second)
      Bytes += sizeOf(Name, Change.Value);
    if (All.size() + PackedRows.size() > MaxRows || Bytes > MaxUpdatedBytes)
      return false;
  }
  for (const auto &[Name, Value] : All)
    Result.Writes.push_back({Name.first, Name.second, Value});
  for (const auto &[Name, Change] : PendingRows)
    Result.Updated.emplace_back(Name, Change.Number);
  for (const PackedRow &Row : PackedRows)
    Result.Writes.push_back({PackedTable, Row.Key, std::nullopt});
  Result.Removed = PackedRows.size();
  return true;
}

void ChangeLog::planPackedRows(const RowChanges &Changes, Plan &Result) {
  std::vector<RowChange> Row;
  std::size_t Bytes = 0;
  const auto FinishRow = [&] {
    if (Row.empty())
      return;
    Result.PackedKeys.push_back(
        packedKey(Result.Number, Result.PackedKeys.size()));
    Result.Writes.push_back(
        {PackedTable, Result.PackedKeys.back(), encode(Row)});
    Row.clear();
    Bytes = 0;
  };
  for (const auto &[Name, Value] : Changes) {
    if (isShared(Name)) {
      Result.Writes.push_back({Name.first, Name.second, Value});
      continue;
    }
    RowChange Change{Name.first, Name.second, Value};
    const std::size_t Size = packedSize(Change);
    if (Bytes + Size > MaxPackedBytes)
      FinishRow();
    Row.push_back(std::move(Change));
    Bytes += Size;
    Result.Packed.emplace(Name, Value);
  }
  FinishRow();
}

void ChangeLog::planUpdates(Plan &Result) const {
  std::size_t Bytes = 0;
  auto Next = PendingOrder.begin();
  for (; Next != PendingOrder.end() && Result.Updated.size() < MaxUpdatedRows &&
         Result.Writes.size() < MaxRows && Bytes < MaxUpdatedBytes;
       ++Next) {
    const auto &[Number, Name] = *Next;
    const Pending &Change = PendingRows.at(Name);
    Result.Writes.push_back({Name.first, Name.second, Change.Value});
    Result.Updated.emplace_back(Name, Number);
    Bytes += sizeOf(Name, Change.Value);
  }
  // Packed rows are removed in their order, so that none is applied to a row
  // that already contains a later change.
  for (const PackedRow &Row : PackedRows) {
    const bool IsNeeded =
        Next != PendingOrder.end() && Next->first <= Row.Number;
    if (IsNeeded || Result.Writes.size() >= MaxRows)
      return;
    Result.Writes.push_back({PackedTable, Row.Key, std::nullopt});
    ++Result.Removed;
  }
}

void ChangeLog::apply(const Plan &Applied) {
  for (const auto &[Name, Number] : Applied.Updated) {
    const auto Found = PendingRows.find(Name);
    if (Found != PendingRows.end() && Found->second.Number == Number)
      clearPending(Name);
  }
  PackedRows.erase(PackedRows.begin(),
                   PackedRows.begin() + std::ptrdiff_t(Applied.Removed));
  for (const std::string &Key : Applied.PackedKeys)
    PackedRows.push_back({Applied.Number, Key});
  for (const auto &[Name, Value] : Applied.Packed)
    setPending(Name, {Value, Applied.Number});
}

bool ChangeLog::restore(const StoredRow &Row) {
  const std::uint64_t Number = std::strtoull(Row.Key.c_str(), nullptr, 10);
  // An invalid row is kept in the list, so that it is removed in its turn.
  PackedRows.push_back({Number, Row.Key});
  const auto Changes = decodeRowChanges(Row.Value);
  if (!Changes)
    return false;
  for (const RowChange &Change : *Changes)
    setPending({Change.Table, Change.Key}, {Change.Value, Number});
  return true;
}

RowChanges ChangeLog::pendingChanges() const {
  RowChanges Result;
  for (const auto &[Name, Change] : PendingRows)
    Result.emplace(Name, Change.Value);
  return Result;
}

void ChangeLog::setPending(const RowName &Name, Pending Change) {
  clearPending(Name);
  PendingOrder.emplace(Change.Number, Name);
  PendingRows[Name] = std::move(Change);
}

void ChangeLog::clearPending(const RowName &Name) {
  const auto Found = PendingRows.find(Name);
  if (Found == PendingRows.end())
    return;
  PendingOrder.erase({Found->second.Number, Name});
  PendingRows.erase(Found);
}

} // namespace apricotwing::cell
