/// \file
/// Starts the stand-ins for every external service of one cell.
#ifndef APRICOTWING_STANDINS_CELL_H
#define APRICOTWING_STANDINS_CELL_H

#include "standins/executorstandin.h"
#include "standins/tablestandin.h"
#include "standins/workerstandin.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::standins {

/// Addresses and sizes of the stand-ins of a cell.
struct CellOptions {
  std::string Host = "127.0.0.1";
  std::uint16_t ControlPort = 0; ///< 0 on any of the ports: any free port.
  std::uint16_t TablePort = 0;
  std::uint16_t ObjectsPort = 0;
  std::uint16_t ListPort = 0;
  std::uint32_t Workers = 4;
  std::uint32_t Executors = 2;
  std::uint32_t Zones = 3;
  std::uint32_t WorkersPerRack = 8;
  std::uint32_t Slots = 8; ///< Number of slots of each executor.
  std::int64_t WorkMs = 5; ///< Default duration of a request.
  std::string Upstream = "planning";
  Resources WorkerCapacity = {32000, 65536, 0};
};

/// Stand-in for the instance list. The control interface adds instances of the
/// system with "set_entry" and an object in the list's JSON format, and removes
/// them with "remove_entry" and an ID.
class ListStandin final : public StandinServer {
public:
  /// \p SnapshotSource returns the current workers and executors.
  ListStandin(TimerQueue &Timers,
              std::function<InstanceSnapshot()> SnapshotSource);

protected:
  void handle(const HttpRequest &Request, const Responder &Reply) override;
  bool setExtraSwitch(const std::string &Name,
                      const nlohmann::json &Value) override;

private:
  void recordSnapshot();
  void recordPeriodically();

  std::function<InstanceSnapshot()> SnapshotSource;
  std::map<std::string, ListedInstance> Instances;
  std::deque<std::pair<std::int64_t, std::string>> History;
};

/// Starts all stand-ins and an HTTP server for their fault switches (/control)
/// and counters (/counts). Owned by main() or by a test.
class Cell {
public:
  explicit Cell(const CellOptions &Options);
  ~Cell();
  Cell(const Cell &) = delete;
  Cell &operator=(const Cell &) = delete;

  /// Returns the addresses of all stand-ins and of the control server as one
  /// line of JSON.
  std::string description() const;

  /// Sets fault switches of the stand-in that "target" names in the JSON object
  /// \p Body. Throws Error(BadRequest) for a missing target or an unknown
  /// switch, Error(NotFound) for an unknown target. Thread-safe.
  void control(const std::string &Body);

  /// See Counts::toJson(). Thread-safe.
  std::string counts() const { return Counters.toJson(); }

  /// Stops an executor permanently. The instance list still shows it as live.
  void killExecutor(std::size_t Index) { Executors.at(Index)->stop(); }

  /// See Counts::resetPeaks(). Thread-safe.
  void resetPeaks() { Counters.resetPeaks(); }

  const std::string &tableAddress() const { return Table.address(); }
  const std::string &objectsAddress() const { return Objects.address(); }
  const std::string &listAddress() const { return List->address(); }
  const std::string &workerAddress(std::size_t Index) const {
    return Workers.at(Index)->address();
  }
  const std::string &executorAddress(std::size_t Index) const {
    return Executors.at(Index)->address();
  }

private:
  void addWorker(const CellOptions &Options, std::uint32_t Index);
  void addExecutor(const CellOptions &Options, std::uint32_t Index);
  InstanceSnapshot snapshot() const;
  HttpResponse serveControl(const HttpRequest &Request);

  Counts Counters;
  std::map<std::string, StandinServer *> Targets;
  TimerQueue Timers;
  TableStandin Table;
  ObjectStandin Objects;
  std::vector<std::unique_ptr<WorkerStandin>> Workers;
  std::vector<std::unique_ptr<ExecutorStandin>> Executors;
  std::unique_ptr<ListStandin> List;
  std::unique_ptr<HttpServer> Control;
  std::string ControlAddress;
};

} // namespace apricotwing::standins

#endif
