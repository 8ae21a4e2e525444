#include "daemon/meteredstore.h"

#include "core/error.h"

namespace apricotwing {

namespace {

enum class Access { Read, Write };

/// Performs \p Call and records its duration, or that it failed.
template <typename Function>
auto metered(Metrics &Counts, const Clock &Time, StoreKind Store, Access Kind,
             const Function &Call) {
  const TimePoint Start = Time.now();
  const auto Record = [&] {
    const Seconds Took = Time.now() - Start;
    if (Kind == Access::Read)
      Counts.storeRead(Store, Took);
    else
      Counts.storeWritten(Store, Took);
  };
  try {
    if constexpr (std::is_void_v<decltype(Call())>) {
      Call();
      Record();
    } else {
      auto Result = Call();
      Record();
      return Result;
    }
  } catch (const Error &) {
    Counts.storeFailed(Store);
    throw;
  }
}

} // namespace

MeteredTableService::MeteredTableService(TableService &Inner, Metrics &Counts,
                                         const Clock &Time)
    : Inner(Inner), Counts(Counts), Time(Time) {}

CommitResult MeteredTableService::transact(const Transaction &Change) {
  ++Writes;
  return metered(Counts, Time, StoreKind::Table, Access::Write,
                 [&] { return Inner.transact(Change); });
}

std::optional<Row> MeteredTableService::read(const std::string &Key) {
  ++Reads;
  return metered(Counts, Time, StoreKind::Table, Access::Read,
                 [&] { return Inner.read(Key); });
}

std::vector<Row> MeteredTableService::scan(const std::string &Prefix,
                                           const std::string &After,
                                           std::uint32_t Limit) {
  ++Reads;
  return metered(Counts, Time, StoreKind::Table, Access::Read,
                 [&] { return Inner.scan(Prefix, After, Limit); });
}

MeteredObjectStore::MeteredObjectStore(ObjectStore &Inner, Metrics &Counts,
                                       const Clock &Time)
    : Inner(Inner), Counts(Counts), Time(Time) {}

void MeteredObjectStore::put(const std::string &Name,
                             const std::string &Content) {
  metered(Counts, Time, StoreKind::Objects, Access::Write,
          [&] { Inner.put(Name, Content); });
}

std::optional<std::string> MeteredObjectStore::read(const std::string &Name) {
  return metered(Counts, Time, StoreKind::Objects, Access::Read,
                 [&] { return Inner.read(Name); });
}

void MeteredObjectStore::remove(const std::string &Name) {
  metered(Counts, Time, StoreKind::Objects, Access::Write,
          [&] { Inner.remove(Name); });
}

} // namespace apricotwing
