#include "cell/policytracker.h"

#include <utility>

namespace apricotwing::cell {

namespace {

/// Maximum time that a watch of the policy waits for a change. A new policy
/// must be in force within 2 s after it was written.
constexpr Duration PolicyWatchTimeout{800};
constexpr Duration PolicyWatchInterval{20};

} // namespace

PolicyTracker::PolicyTracker(const Ports &Deps, std::string JitterSeed,
                             Receiver OnPolicy)
    : Deps(Deps), OnPolicy(std::move(OnPolicy)), InForceSince(Deps.Time.now()),
      Watcher(Deps.Store, Deps.Time, Deps.Records.policyTable(), {""},
              PolicyWatchInterval, PolicyWatchTimeout, std::move(JitterSeed),
              {[this](const std::vector<StoredRow> &Rows) { onRows(Rows); },
               [this](const std::vector<StoredRow> &Rows) { onRows(Rows); }}) {}

std::optional<Duration> PolicyTracker::storeAnswerAge() const {
  if (Watcher.lastAnswer() == TimePoint{})
    return std::nullopt;
  return Deps.Time.now() - Watcher.lastAnswer();
}

std::optional<TimePoint> PolicyTracker::lastStoreResponse() const {
  if (!Watcher.isHealthy())
    return std::nullopt;
  return Watcher.lastAnswer();
}

void PolicyTracker::onRows(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows) {
    if (Row.Deleted)
      continue;
    const auto NewPolicy = Deps.Records.decodePolicy(Row);
    if (!NewPolicy || NewPolicy->Version <= Version)
      continue;
    Deps.Log.event("policy in force", "",
                   {{"version", std::to_string(NewPolicy->Version)},
                    {"before", std::to_string(Version)},
                    {"before_age_ms", std::to_string(age().count())}});
    Version = NewPolicy->Version;
    InForceSince = Deps.Time.now();
    OnPolicy(*NewPolicy);
  }
}

} // namespace apricotwing::cell
