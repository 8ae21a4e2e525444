#include "daemon/instancelistservice.h"

namespace apricotwing {

namespace {

/// An executor that is leaving must get nothing new after a few seconds, and
/// the list itself lags.
constexpr Duration ReadPeriod{1000};

} // namespace

InstanceListService::InstanceListService(DaemonContext &Context,
                                         Listener OnList)
    : Context(Context), OnList(std::move(OnList)),
      LastContactMs(TimePoint::min().time_since_epoch().count()),
      Thread(
          ReadPeriod, [this] { readOnce(); },
          [&Context](const std::exception &Failure) {
            Context.Events.failure(Component::List, "cannot read the list",
                                   Failure);
          }) {}

TimePoint InstanceListService::lastContact() const {
  return TimePoint(Duration(LastContactMs.load()));
}

void InstanceListService::readOnce() {
  const TimePoint Start = Context.Time.now();
  try {
    auto Fresh = std::make_shared<const InstanceSnapshot>(Context.List.read());
    Latest.store(Fresh);
  } catch (const Error &) {
    Context.Counts.storeFailed(StoreKind::List);
    throw;
  }
  const TimePoint End = Context.Time.now();
  LastContactMs.store(End.time_since_epoch().count());
  Context.Counts.storeRead(StoreKind::List, End - Start);
  OnList(*Latest.load());
}

} // namespace apricotwing
