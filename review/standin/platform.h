/// \file
/// Stand-ins for the users' platform, as ../given/kit/more/system/PROTOCOL.md
/// describes it: the metadata store and the executors.
#ifndef REVIEW_STANDIN_PLATFORM_H
#define REVIEW_STANDIN_PLATFORM_H

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <memory>
#include <optional>
#include <vector>

namespace review {

using json = nlohmann::json;

/// Milliseconds of the steady clock since the start of the case.
std::int64_t nowMs();
std::int64_t unixMs();
void sleepMs(std::int64_t Milliseconds);

/// Writes the file record.txt and keeps the runs of all executors for the
/// check.
class Recorder {
public:
  struct Run {
    std::string Task, Executor, How; ///< How is empty while it runs.
    std::int64_t Id = 0, Started = 0, Ended = -1;
    bool Noted = false;
  };

  explicit Recorder(const std::string &Path) : File(Path) {}
  void line(const std::string &Text);
  std::size_t started(const std::string &Task, std::int64_t Id,
                      const std::string &Executor);
  void ended(std::size_t Index, const std::string &How);
  void noted(std::size_t Index);
  std::vector<Run> runs();

private:
  std::mutex Mutex;
  std::ofstream File;
  std::vector<Run> All;
};

/// The platform's store: tables of rows with transactions and feeds. Loses
/// nothing, refuses what is over its limits with 400.
class Store {
public:
  Store(std::string Ip, int Port);
  /// Writes a row as the operator or an executor does.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);
  std::optional<std::string> get(const std::string &Table,
                                 const std::string &Part,
                                 const std::string &Key);
  /// While it is down, it resets all channels.
  void setDown(bool Value) { Down = Value; }
  std::int64_t oversizedWrites() const { return Oversized; }

private:
  struct Row {
    std::string Value; ///< In base64.
    std::int64_t Version = 0;
  };
  struct Change {
    std::int64_t Version;
    std::string Table, Part, Key;
    std::optional<std::string> Value;
  };
  using Name = std::tuple<std::string, std::string, std::string>;

  Response serve(const Request &Incoming);
  Response transact(const json &Body);
  Response rows(const Request &Incoming);
  Response feed(const Request &Incoming);
  void apply(const Name &Row, std::optional<std::string> Value);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<Name, Row> Rows;
  std::vector<Change> History;
  std::int64_t Version = 0;
  std::atomic<bool> Down = false;
  std::atomic<std::int64_t> Oversized = 0;
  Server Listener;
};

/// One executor. It guards nothing, keeps fencing tokens and leases, and shows
/// at most 500 ends at a time. A task works for as long as its spec says
/// ("work_ms=N").
class Executor {
public:
  struct Settings {
    std::string Id, Ip, Service;
    int Port = 0;
    std::int64_t Cpu = 32'000, MemMb = 65'536, MaxHoldMs = 10'000;
  };

  Executor(Settings Chosen, Store &Registry, Recorder &Record);
  ~Executor() { kill(); }

  /// Ends the process: what runs there ends, connections break.
  void kill();
  std::size_t running();
  /// Lets the run of a task end as failed, if it runs here.
  void fail(const std::string &Task);

private:
  struct Active {
    std::int64_t Id, Started, EndsAt;
    std::size_t Index;
  };
  struct End {
    std::int64_t Number;
    std::string Task;
    std::int64_t Id;
    std::string How;
    std::size_t Index;
    std::int64_t Lapses;
  };

  Response serve(const Request &Incoming);
  Response start(const json &Body);
  Response stop(const json &Body);
  Response hold(const json &Body);
  void tick();
  void work();
  void beat();
  void finish(const std::string &Task, const std::string &How);
  std::int64_t clock() const { return nowMs() - BornAt; }
  void extend(std::int64_t Deadline);
  json answer(const std::string &Reason = "") const;

  const Settings Chosen;
  Store &Registry;
  Recorder &Record;
  const std::int64_t Born;
  const std::int64_t BornAt;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Dead = false, Lapsed = false;
  std::int64_t Fence = 0, Deadline = 0, LastEnd = 0, Lapses = 0, Sequence = 0;
  std::map<std::string, Active> Running;
  std::map<std::string, std::int64_t> Highest; ///< Run stopped or ended here.
  std::vector<End> Ends;
  std::unique_ptr<Server> Listener;
  std::thread Ticker;
};

} // namespace review

#endif
