#include "core/retrybudget.h"

#include <cstddef>

namespace apricotwing {

namespace {

constexpr std::uint32_t MinRetriesPerSecond = 3;
constexpr std::uint32_t RequestsPerRetry = 10;

std::int64_t secondOf(TimePoint Now) {
  return std::chrono::floor<std::chrono::seconds>(Now.time_since_epoch())
      .count();
}

} // namespace

RetryBudget::Second &RetryBudget::current(TimePoint Now) {
  const std::int64_t Number = secondOf(Now);
  Second &Result = Window[std::size_t(Number) % WindowSeconds];
  if (Result.Number != Number)
    Result = Second{Number, 0, 0};
  return Result;
}

void RetryBudget::noteRequest(TimePoint Now) { ++current(Now).Requests; }

bool RetryBudget::tryTake(TimePoint Now) {
  Second &Current = current(Now);
  std::uint32_t Requests = 0;
  std::uint32_t Retries = 0;
  for (const Second &Each : Window) {
    if (Each.Number <= Current.Number - std::int64_t(WindowSeconds))
      continue;
    Requests += Each.Requests;
    Retries += Each.Retries;
  }
  if (Current.Retries >= MinRetriesPerSecond &&
      (Retries + 1) * RequestsPerRetry > Requests)
    return false;
  ++Current.Retries;
  return true;
}

} // namespace apricotwing
