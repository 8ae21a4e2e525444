/// \file
/// Stand-in for an executor of an upstream.
#ifndef APRICOTWING_STANDINS_EXECUTORSTANDIN_H
#define APRICOTWING_STANDINS_EXECUTORSTANDIN_H

#include "core/platform.h"
#include "standins/counts.h"
#include "standins/site.h"

#include <cstdint>
#include <string>

namespace apricotwing::standins {

/// Executes each request for a while and echoes it as
/// {"request":"<id>","echo":"<body>"}. A body that is a JSON object may set
/// "work_ms". Refuses with 503 above its slots and while it is leaving.
class ExecutorStandin final : public Site {
public:
  ExecutorStandin(Timeline &Time, Counts &Seen, ListedExecutor Identity,
                  std::uint32_t Slots, std::int64_t WorkMs);

  /// The executor's entry in the instance list, with its state. Thread-safe.
  ListedExecutor listed() const;

protected:
  void handle(const HttpRequest &Request, const Responder &Reply) override;
  void handleDown(const HttpRequest &Request, const Responder &Reply) override;

private:
  HttpResponse refusal(const std::string &RequestId) const;
  void finish(const std::string &RequestId, const std::string &Body,
              const Responder &Reply);

  Counts &Seen;
  const ListedExecutor Identity;
  const std::uint32_t Slots;
  const std::int64_t WorkMs;
  std::uint32_t Busy = 0;
  HttpResponse Previous;
};

} // namespace apricotwing::standins

#endif
