#include "cell/tablewatcher.h"

#include <xxhash.h>

#include <algorithm>

namespace apricotwing::cell {

namespace {

/// Delay before the next call after a failed one.
constexpr Duration RetryDelay{200};

} // namespace

TableWatcher::TableWatcher(MetadataStore &Store, const Clock &Time,
                           std::string Table,
                           std::vector<std::string> Partitions,
                           Duration MinInterval, Duration WatchTimeout,
                           std::string JitterSeed, Callbacks Owner)
    : Store(Store), Time(Time), Table(std::move(Table)),
      Partitions(std::move(Partitions)), MinInterval(MinInterval),
      WatchTimeout(WatchTimeout), JitterSeed(std::move(JitterSeed)),
      Owner(std::move(Owner)) {}

Duration TableWatcher::nextWatchTimeout() {
  const Duration Shortest = WatchTimeout / 2;
  const std::uint64_t Hash = XXH3_64bits_withSeed(
      JitterSeed.data(), JitterSeed.size(), XXH64_hash_t(++WatchCalls));
  return Shortest +
         Duration(Duration::rep(Hash % std::uint64_t(Shortest.count() + 1)));
}

void TableWatcher::pump() {
  if (InFlight || Time.now() < NextCall)
    return;
  InFlight = true;
  SentAt = Time.now();
  AllowedWait = Duration::zero();
  if (Version < 0)
    readNextPage();
  else
    watch();
}

Duration TableWatcher::overdue() const {
  if (!InFlight)
    return Duration::zero();
  return std::max(Time.now() - SentAt - AllowedWait, Duration::zero());
}

void TableWatcher::readNextPage() {
  Store.read(Table, Partitions[NextPartition], NextKey, Pages.rows(),
             Guard.wrap([this](const ReadResult &Page) {
               InFlight = false;
               if (Page.Outcome != StoreOutcome::Done) {
                 if (Page.Outcome == StoreOutcome::Unknown)
                   Pages.onTimeout();
                 onFailure();
                 return;
               }
               onPage(Page);
             }));
}

void TableWatcher::onPage(const ReadResult &Page) {
  Healthy = true;
  LastAnswer = Time.now();
  // Changes since the first page are reported by the watch.
  if (NextPartition == 0 && NextKey.empty()) {
    FirstPageVersion = Page.Version;
    FirstPageSentAt = SentAt;
  }
  const bool IsLast = !Page.HasMore || Page.Rows.empty();
  Pages.onPage(Page.Rows.size(), IsLast, LastAnswer - SentAt);
  PartialRows.insert(PartialRows.end(), Page.Rows.begin(), Page.Rows.end());
  if (!IsLast) {
    // The smallest key that sorts after the last key of this page.
    NextKey = Page.Rows.back().Key + '\x01';
    return;
  }
  NextKey.clear();
  if (++NextPartition < Partitions.size())
    return;
  NextPartition = 0;
  Version = FirstPageVersion;
  KnownUntil = FirstPageSentAt;
  const std::vector<StoredRow> All = std::move(PartialRows);
  PartialRows.clear();
  Owner.Replaced(All);
}

void TableWatcher::watch() {
  AllowedWait = nextWatchTimeout();
  Store.watch(Table, Version, AllowedWait,
              Guard.wrap([this](const ReadResult &Result) {
                InFlight = false;
                if (Result.Outcome == StoreOutcome::HistoryLost) {
                  Version = -1;
                  return;
                }
                if (Result.Outcome != StoreOutcome::Done) {
                  onFailure();
                  return;
                }
                Healthy = true;
                LastAnswer = Time.now();
                NextCall = SentAt + MinInterval;
                // A response without changes that came after the whole wait
                // holds for its end.
                const bool Waited =
                    Result.Rows.empty() && LastAnswer >= SentAt + AllowedWait;
                KnownUntil = Waited ? SentAt + AllowedWait : SentAt;
                Version = std::max(Version, Result.Version);
                if (!Result.Rows.empty())
                  Owner.Changed(Result.Rows);
              }));
}

void TableWatcher::onFailure() {
  Healthy = false;
  LastFailure = Time.now();
  NextCall = Time.now() + RetryDelay;
}

} // namespace apricotwing::cell
