#include "core/workerclock.h"

namespace apricotwing {

bool WorkerClock::observe(TimePoint SentAt, TimePoint ReceivedAt,
                          std::int64_t WorkerNowMs) {
  const std::optional<std::int64_t> LowerMs = lowerBoundMs(SentAt);
  const std::optional<std::int64_t> UpperMs = upperBoundMs(ReceivedAt);
  const bool Consistent = (!LowerMs || WorkerNowMs >= *LowerMs) &&
                          (!UpperMs || WorkerNowMs <= *UpperMs);
  if (!Consistent || !Lower || WorkerNowMs >= *lowerBoundMs(ReceivedAt))
    Lower = Reading{ReceivedAt, WorkerNowMs};
  const std::int64_t FreshUpper =
      WorkerNowMs + lengthenByClockDrift(ReceivedAt - SentAt).count();
  if (!Consistent || !Upper || FreshUpper <= *upperBoundMs(ReceivedAt))
    Upper = Reading{SentAt, WorkerNowMs};
  return Consistent;
}

std::optional<std::int64_t> WorkerClock::lowerBoundMs(TimePoint Now) const {
  if (!Lower)
    return std::nullopt;
  // Before the reading, the worker's clock may have run faster than this one.
  const Duration Elapsed = Now - Lower->At;
  if (Elapsed < Duration::zero())
    return Lower->WorkerMs - lengthenByClockDrift(-Elapsed).count();
  return Lower->WorkerMs + shortenByClockDrift(Elapsed).count();
}

std::optional<std::int64_t> WorkerClock::upperBoundMs(TimePoint Now) const {
  if (!Upper)
    return std::nullopt;
  const Duration Elapsed = Now - Upper->At;
  if (Elapsed < Duration::zero())
    return Upper->WorkerMs - shortenByClockDrift(-Elapsed).count();
  return Upper->WorkerMs + lengthenByClockDrift(Elapsed).count();
}

} // namespace apricotwing
