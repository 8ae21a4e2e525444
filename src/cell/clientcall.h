/// \file
/// What callers of an entry instance ask and are answered.
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

/// One call. The path is the prefix of a queue, followed by a job's id; a
/// Read without an id asks for the number of waiting jobs.
struct ClientCall {
  ClientVerb Verb = ClientVerb::Read;
  std::string Host;
  std::string Path;
  std::string Key;                  ///< Empty: none was given.
  std::optional<jobs::JobSpec> Job; ///< If Submit; empty: unreadable.
  Duration Deadline{3000};          ///< How long the caller waits.
};

enum class ClientStatus {
  Accepted, ///< The job is stored, or the cancellation is.
  State,    ///< View tells the job's state.
  Count,    ///< Count is the number of waiting jobs.
  NoSuchQueue,
  UnknownKey,
  NoSuchJob,
  Malformed,
  Busy,        ///< Not accepted; come back after RetryAfter.
  Unavailable, ///< Not accepted, as there is nobody to decide.
  Unresolved,  ///< It may have been accepted; asking again tells.
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
  Duration RetryAfter{0}; ///< If Busy or Unavailable; 0: not said.
};

using ClientResponder = std::function<void(ClientAnswer)>;

} // namespace apricotwing::cell

#endif
