/// \file
/// Generates interactive requests for the process tests.
#ifndef APRICOTWING_PROCESS_LOAD_H
#define APRICOTWING_PROCESS_LOAD_H

#include "process/cluster.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace apricotwing::process {

/// Runs callers that send requests back to back, and records the results.
class Load {
public:
  /// Starts \p Callers threads, assigned to \p Daemons in turn. The body of
  /// each request sets its duration to \p WorkMs.
  Load(const Cluster &Target, const std::vector<std::size_t> &Daemons,
       std::size_t Callers, int WorkMs, bool Idempotent = false);
  ~Load() { stop(); }

  /// Stops the callers; returns all results by request body.
  std::map<std::string, RequestResult> stop();

  /// Returns the number of results so far. Thread-safe.
  std::size_t size() const;

private:
  void sendOne(std::size_t Daemon, std::size_t Caller, int Number, int WorkMs);

  const Cluster &Target;
  const bool Idempotent;
  std::atomic<bool> Stopping{false};
  mutable std::mutex Mutex;
  std::map<std::string, RequestResult> Results;
  std::vector<std::thread> Threads;
};

/// Expects that the results agree with the executors' counters: no request ran
/// twice, one that is reported as not run did not run, and each response is
/// that of its request. Returns the number of requests with the outcome "done".
int expectHonest(const std::map<std::string, RequestResult> &Results,
                 const nlohmann::json &Counts);

} // namespace apricotwing::process

#endif
