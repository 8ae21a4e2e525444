#include "jobs/clusterpolicy.h"

#include <algorithm>

namespace apricotwing::jobs {

Duration allowedTime(const Queue &JobQueue, const JobSpec &Spec) {
  return JobQueue.LatencyTarget +
         Duration(Duration::rep(double(criticalPath(Spec).count()) *
                                JobQueue.SlackFactor));
}

const Queue *ClusterPolicy::match(std::string_view Host,
                                  std::string_view Path) const {
  const Queue *Best = nullptr;
  for (const Queue &Candidate : Queues) {
    if (Candidate.Host != Host || !Path.starts_with(Candidate.PathPrefix))
      continue;
    if (!Best || Candidate.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Candidate;
  }
  return Best;
}

const ClientAccount *ClusterPolicy::accountOfKey(std::string_view Key) const {
  for (const ClientAccount &Account : Accounts)
    if (std::find(Account.Keys.begin(), Account.Keys.end(), Key) !=
        Account.Keys.end())
      return &Account;
  return nullptr;
}

} // namespace apricotwing::jobs
