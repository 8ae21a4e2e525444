#include "daemon/instancelistservice.h"

#include <string>
#include <utility>

namespace apricotwing {

namespace {

/// A leaving executor must stop receiving requests within a few seconds, and
/// the platform updates the list with a delay.
constexpr Duration PollPeriod{1000};

} // namespace

InstanceListService::InstanceListService(DaemonContext &Context,
                                         Listener OnSnapshot)
    : Context(Context), OnSnapshot(std::move(OnSnapshot)),
      LastContactMs(TimePoint::min().time_since_epoch().count()),
      Thread(
          PollPeriod, [this] { poll(); },
          [&Context](const std::exception &Failure) {
            Context.Logger.failure(Component::List,
                                   "cannot read the instance list", Failure);
          }) {}

TimePoint InstanceListService::lastContact() const {
  return TimePoint(Duration(LastContactMs.load()));
}

void InstanceListService::poll() {
  const TimePoint Start = Context.Time.now();
  try {
    auto NewSnapshot =
        std::make_shared<const InstanceSnapshot>(Context.InstanceClient.read());
    Latest.store(NewSnapshot);
  } catch (const Error &) {
    Context.Metrics.storeFailed(StoreKind::List);
    throw;
  }
  const TimePoint End = Context.Time.now();
  LastContactMs.store(End.time_since_epoch().count());
  Context.Metrics.storeRead(StoreKind::List, End - Start);
  const auto Current = Latest.load();
  const std::size_t Skipped = Current->SkippedEntries;
  if (Skipped != std::exchange(LastSkipped, Skipped))
    Context.Logger.warning(Component::List, "malformed entries are left out",
                           std::to_string(Skipped) +
                               " in the instance list; correct or remove them");
  OnSnapshot(*Current);
}

} // namespace apricotwing
