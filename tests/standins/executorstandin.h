/// \file
/// Stand-in for an executor of an upstream.
#ifndef APRICOTWING_STANDINS_EXECUTORSTANDIN_H
#define APRICOTWING_STANDINS_EXECUTORSTANDIN_H

#include "core/platform.h"
#include "standins/counts.h"
#include "standins/standinserver.h"

#include <cstdint>
#include <string>

namespace apricotwing::standins {

/// Occupies a slot for the duration of each request and then echoes the request
/// as {"request":"<id>","echo":"<body>"}. A body that is a JSON object may set
/// the duration as "work_ms". Refuses with 503 when all slots are in use and
/// while it is leaving.
class ExecutorStandin final : public StandinServer {
public:
  ExecutorStandin(TimerQueue &Timers, Counts &Counters, ListedExecutor Identity,
                  std::uint32_t Slots, std::int64_t WorkMs);

  /// Returns the executor's entry for the instance list, with its state.
  /// Thread-safe.
  ListedExecutor listed() const;

protected:
  void handle(const HttpRequest &Request, const Responder &Reply) override;
  void handleWhileDown(const HttpRequest &Request,
                       const Responder &Reply) override;

private:
  HttpResponse refusal(const std::string &RequestId) const;
  void finish(const std::string &RequestId, const std::string &Body,
              const Responder &Reply);

  Counts &Counters;
  const ListedExecutor Identity;
  const std::uint32_t Slots;
  const std::int64_t WorkMs;
  std::uint32_t BusySlots = 0;
  HttpResponse PreviousAnswer;
};

} // namespace apricotwing::standins

#endif
