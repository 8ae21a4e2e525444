#include "cell/tablefollower.h"

#include <algorithm>

namespace apricotwing::cell {

namespace {

/// Pause after a call that failed.
constexpr Duration FailurePause{200};

} // namespace

TableFollower::TableFollower(MetadataStore &Store, const Clock &Time,
                             std::string Table, Duration Gap, Duration Wait,
                             Listener Owner)
    : Store(Store), Time(Time), Table(std::move(Table)), Gap(Gap), Wait(Wait),
      Owner(std::move(Owner)) {}

void TableFollower::pump() {
  if (InFlight || Time.now() < NextCall)
    return;
  InFlight = true;
  if (Version < 0)
    readOn();
  else
    watch();
}

void TableFollower::readOn() {
  Store.read(Table, "", NextKey, Life.guard([this](const ReadResult &Page) {
    InFlight = false;
    if (Page.Outcome != StoreOutcome::Done) {
      failed();
      return;
    }
    readPage(Page);
  }));
}

void TableFollower::readPage(const ReadResult &Page) {
  Healthy = true;
  LastAnswer = Time.now();
  if (Pages.empty())
    FirstPageVersion = Page.Version;
  Pages.insert(Pages.end(), Page.Rows.begin(), Page.Rows.end());
  if (Page.HasMore && !Page.Rows.empty()) {
    // The least key behind the last one.
    NextKey = Page.Rows.back().Key + '\x01';
    return;
  }
  Version = FirstPageVersion;
  NextKey.clear();
  const std::vector<StoredRow> All = std::move(Pages);
  Pages.clear();
  Owner.Replaced(All);
}

void TableFollower::watch() {
  const TimePoint Sent = Time.now();
  Store.watch(Table, Version, Wait,
              Life.guard([this, Sent](const ReadResult &Result) {
                InFlight = false;
                if (Result.Outcome == StoreOutcome::HistoryLost) {
                  Version = -1;
                  return;
                }
                if (Result.Outcome != StoreOutcome::Done) {
                  failed();
                  return;
                }
                Healthy = true;
                LastAnswer = Time.now();
                NextCall = Sent + Gap;
                Version = std::max(Version, Result.Version);
                if (!Result.Rows.empty())
                  Owner.Changed(Result.Rows);
              }));
}

void TableFollower::failed() {
  Healthy = false;
  Pages.clear();
  NextKey.clear();
  NextCall = Time.now() + FailurePause;
}

} // namespace apricotwing::cell
