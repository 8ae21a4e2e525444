/// \file
/// Calls of the clients of an entry instance, and their answers.
#ifndef APRICOTWING_CELL_CLIENTCALL_H
#define APRICOTWING_CELL_CLIENTCALL_H

#include "core/nametable.h"
#include "core/time.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobspec.h"

#include <functional>
#include <optional>
#include <string>

namespace apricotwing::cell {

enum class ClientVerb { Submit, Read, Cancel };

/// A call of a client. The path consists of the path prefix of a queue and a
/// job id; a Read without an id returns the number of waiting jobs.
struct ClientCall {
  ClientVerb Verb = ClientVerb::Read;
  std::string Host;
  std::string Path;
  std::string Key; ///< API key; empty if none was sent.
  /// Only for Submit; empty if it could not be parsed.
  std::optional<jobs::JobSpec> Job;
  Duration Deadline{3000}; ///< How long the caller waits for the answer.
};

enum class ClientStatus {
  Accepted, ///< The job or its cancellation is stored.
  State,    ///< View contains the state of the job.
  Count,    ///< Count contains the number of waiting jobs.
  NoSuchQueue,
  UnknownKey,
  NoSuchJob,
  Malformed,
  Busy,        ///< Not accepted; may be retried after RetryAfter.
  Unavailable, ///< Not accepted: no leader answered, or there is no policy yet.
  Unresolved, ///< The outcome is unknown; the caller can query the job's state.
};

inline constexpr NameTable<ClientStatus, 10> ClientStatusNames = {{
    {ClientStatus::Accepted, "accepted"},
    {ClientStatus::State, "state"},
    {ClientStatus::Count, "count"},
    {ClientStatus::NoSuchQueue, "no_such_queue"},
    {ClientStatus::UnknownKey, "unknown_key"},
    {ClientStatus::NoSuchJob, "no_such_job"},
    {ClientStatus::Malformed, "malformed"},
    {ClientStatus::Busy, "busy"},
    {ClientStatus::Unavailable, "unavailable"},
    {ClientStatus::Unresolved, "unresolved"},
}};

struct ClientAnswer {
  ClientStatus Status = ClientStatus::Unavailable;
  jobs::JobView View = jobs::JobView::Unknown;
  int Count = 0;
  Duration RetryAfter{0}; ///< If Busy or Unavailable; 0: no recommendation.
};

using ClientResponder = std::function<void(ClientAnswer)>;

} // namespace apricotwing::cell

#endif
