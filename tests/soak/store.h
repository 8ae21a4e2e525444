/// \file
/// Stand-in for the platform's metadata store.
#ifndef APRICOTWING_SOAK_STORE_H
#define APRICOTWING_SOAK_STORE_H

#include "soak/http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

namespace apricotwing::soak {

using Json = nlohmann::json;

/// Milliseconds of the steady clock since the first call.
std::int64_t nowMs();
std::int64_t unixMs();
/// As in the logs of the entries, without the zone.
std::string isoTime(std::int64_t UnixMs);
void sleepMs(std::int64_t Milliseconds);

/// Tables of rows with transactions and feeds. Each caller has an address of
/// its own, so that the store can be cut from some of them. Thread-safe.
class Store {
public:
  ~Store();
  /// Serves one more address.
  void listen(const std::string &Ip, int Port);
  /// While the store is down for an address, in the order of listen(), its
  /// calls end without an answer.
  void setDown(std::size_t Address, bool IsDown);
  /// Writes a row as the operator or an executor does.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);
  /// Name of the instance that last wrote a leader's row; empty at first.
  std::string leader();

private:
  struct Row {
    std::string Value; ///< In base64.
    std::int64_t Version = 0;
  };
  struct Change {
    std::int64_t Version;
    std::string Part, Key;
    std::optional<std::string> Value;
  };
  using Name = std::tuple<std::string, std::string, std::string>;

  Response serve(std::size_t Address, const Request &Incoming);
  Response transact(const Json &Body);
  Response rows(const Request &Incoming);
  Response feed(const Request &Incoming);
  void apply(const Name &Row, std::optional<std::string> Value);
  bool isDown(std::size_t Address);
  std::mutex &partMutex(const std::string &Part);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<Name, Row> Rows;
  std::map<std::string, std::vector<Change>> History; ///< By table.
  std::map<std::string, std::unique_ptr<std::mutex>> Parts;
  std::int64_t Version = 0;
  std::string Leader;
  std::set<std::size_t> Down;
  std::atomic<bool> Ending = false;
  std::vector<std::unique_ptr<Server>> Listeners;
};

} // namespace apricotwing::soak

#endif
