#include "core/workerclock.h"

namespace apricotwing {

bool WorkerClock::observe(TimePoint SentAt, TimePoint ReceivedAt,
                          std::int64_t WorkerNowMs) {
  const std::optional<std::int64_t> Least = lowerBoundMs(SentAt);
  const std::optional<std::int64_t> Most = upperBoundMs(ReceivedAt);
  const bool Consistent =
      (!Least || WorkerNowMs >= *Least) && (!Most || WorkerNowMs <= *Most);
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
  // Before the reading the clock may have run faster than this one.
  const Duration Since = Now - Lower->At;
  if (Since < Duration::zero())
    return Lower->WorkerMs - lengthenByClockDrift(-Since).count();
  return Lower->WorkerMs + shortenByClockDrift(Since).count();
}

std::optional<std::int64_t> WorkerClock::upperBoundMs(TimePoint Now) const {
  if (!Upper)
    return std::nullopt;
  const Duration Since = Now - Upper->At;
  if (Since < Duration::zero())
    return Upper->WorkerMs - shortenByClockDrift(-Since).count();
  return Upper->WorkerMs + lengthenByClockDrift(Since).count();
}

} // namespace apricotwing
