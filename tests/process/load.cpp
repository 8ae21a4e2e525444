#include "process/load.h"

#include <gtest/gtest.h>

namespace apricotwing::process {

Load::Load(const Cluster &Target, const std::vector<std::size_t> &Daemons,
           std::size_t Callers, int WorkMs, bool Idempotent)
    : Target(Target), Idempotent(Idempotent) {
  for (std::size_t Index = 0; Index < Callers; ++Index)
    Threads.emplace_back([this, Index, Daemons, WorkMs] {
      for (int Number = 0; !Stopping; ++Number)
        sendOne(Daemons[Index % Daemons.size()], Index, Number, WorkMs);
    });
}

std::map<std::string, RequestResult> Load::stop() {
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
  return Results;
}

std::size_t Load::size() const {
  const std::lock_guard Lock(Mutex);
  return Results.size();
}

void Load::sendOne(std::size_t Daemon, std::size_t Caller, int Number,
                   int WorkMs) {
  const std::string Body = "{\"work_ms\":" + std::to_string(WorkMs) +
                           ",\"caller\":" + std::to_string(Caller) +
                           ",\"number\":" + std::to_string(Number) +
                           (Idempotent ? ",\"idempotent\":true}" : "}");
  const RequestResult Result = Target.request(Daemon, Body, Idempotent);
  const std::lock_guard Lock(Mutex);
  Results[Body] = Result;
  if (Result.Status == 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

int expectHonest(const std::map<std::string, RequestResult> &Results,
                 const nlohmann::json &Counts) {
  int Answered = 0;
  for (const auto &[Body, Result] : Results) {
    const std::uint64_t Executions = Counts["bodies"].value(Body, 0U);
    EXPECT_LE(Executions, 1U) << Body;
    if (Result.Outcome == "not_run") {
      EXPECT_EQ(Executions, 0U) << Body;
    }
    if (Result.Outcome != "done")
      continue;
    ++Answered;
    EXPECT_EQ(Executions, 1U) << Body;
    const auto Answer = nlohmann::json::parse(Result.Body, nullptr, false);
    EXPECT_TRUE(Answer.is_object() && Answer["echo"] == Body) << Result.Body;
  }
  EXPECT_LE(Counts["worst_slots"].get<int>(), 8);
  return Answered;
}

} // namespace apricotwing::process
