#include "daemon/meteredstore.h"

#include "core/error.h"

namespace apricotwing {

namespace {

enum class Access { Read, Write };

/// Performs \p Call and records its duration, or that it failed.
template <typename Function>
auto measureCall(DaemonMetrics &Metrics, const Clock &Time, StoreKind Store,
                 Access Kind, const Function &Call) {
  const TimePoint Start = Time.now();
  const auto Record = [&] {
    const Seconds Elapsed = Time.now() - Start;
    if (Kind == Access::Read)
      Metrics.storeRead(Store, Elapsed);
    else
      Metrics.storeWritten(Store, Elapsed);
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
    Metrics.storeFailed(Store);
    throw;
  }
}

} // namespace

MeteredTableService::MeteredTableService(TableService &Inner,
                                         DaemonMetrics &Metrics,
                                         const Clock &Time)
    : Inner(Inner), Metrics(Metrics), Time(Time) {}

CommitResult MeteredTableService::transact(const Transaction &Change) {
  ++Writes;
  return measureCall(Metrics, Time, StoreKind::Table, Access::Write,
                     [&] { return Inner.transact(Change); });
}

std::optional<Row> MeteredTableService::read(const std::string &Key) {
  ++Reads;
  return measureCall(Metrics, Time, StoreKind::Table, Access::Read,
                     [&] { return Inner.read(Key); });
}

std::vector<Row> MeteredTableService::scan(const std::string &Prefix,
                                           const std::string &After,
                                           std::uint32_t Limit) {
  ++Reads;
  return measureCall(Metrics, Time, StoreKind::Table, Access::Read,
                     [&] { return Inner.scan(Prefix, After, Limit); });
}

MeteredObjectStore::MeteredObjectStore(ObjectStore &Inner,
                                       DaemonMetrics &Metrics,
                                       const Clock &Time)
    : Inner(Inner), Metrics(Metrics), Time(Time) {}

void MeteredObjectStore::put(const std::string &Name,
                             const std::string &Content) {
  measureCall(Metrics, Time, StoreKind::Objects, Access::Write,
              [&] { Inner.put(Name, Content); });
}

std::optional<std::string> MeteredObjectStore::read(const std::string &Name) {
  return measureCall(Metrics, Time, StoreKind::Objects, Access::Read,
                     [&] { return Inner.read(Name); });
}

void MeteredObjectStore::remove(const std::string &Name) {
  measureCall(Metrics, Time, StoreKind::Objects, Access::Write,
              [&] { Inner.remove(Name); });
}

} // namespace apricotwing
