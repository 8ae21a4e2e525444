/// \file
/// Callers with interactive requests, for the process tests.
#ifndef APRICOTWING_PROCESS_LOAD_H
#define APRICOTWING_PROCESS_LOAD_H

#include "process/cluster.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace apricotwing::process {

/// Callers that send requests without a pause and keep their results.
class Load {
public:
  /// Starts \p Callers threads, dealt out to \p Daemons in turn; the body of
  /// each request asks for \p WorkMs.
  Load(const Cluster &Target, const std::vector<std::size_t> &Daemons,
       std::size_t Callers, int WorkMs, bool Idempotent = false);
  ~Load() { stop(); }

  /// Ends the callers; returns all results by body.
  std::map<std::string, RequestResult> stop();

  /// How many results there are so far. Thread-safe.
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

/// Compares what callers saw with what the executors counted. Returns how
/// many requests were answered.
int expectHonest(const std::map<std::string, RequestResult> &Results,
                 const nlohmann::json &Counts);

} // namespace apricotwing::process

#endif
