/// \file
/// All stand-ins of one cell.
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

struct CellOptions {
  std::string Host = "127.0.0.1";
  std::uint16_t ControlPort = 0; ///< 0: any free port, as for all ports.
  std::uint16_t TablePort = 0;
  std::uint16_t ObjectsPort = 0;
  std::uint16_t ListPort = 0;
  std::uint32_t Workers = 4;
  std::uint32_t Executors = 2;
  std::uint32_t Zones = 3;
  std::uint32_t WorkersPerRack = 8;
  std::uint32_t Slots = 8; ///< Of each executor.
  std::int64_t WorkMs = 5; ///< Default duration of a request.
  std::string Upstream = "planning";
  Resources WorkerCapacity = {32000, 65536, 0};
};

/// Stand-in for the instance list. Entry instances are added by control:
/// "set_entry" with an object of the list's form, "remove_entry" with an id.
class ListStandin final : public Site {
public:
  /// \p Source gives the workers and executors as they are now.
  ListStandin(Timeline &Time, std::function<InstanceSnapshot()> Source);

protected:
  void handle(const HttpRequest &Request, const Responder &Reply) override;
  bool controlOwn(const std::string &Name,
                  const nlohmann::json &Value) override;

private:
  void record();
  void recordForever();

  std::function<InstanceSnapshot()> Source;
  std::map<std::string, ListedInstance> Instances;
  std::deque<std::pair<std::int64_t, std::string>> History;
};

/// Starts all stand-ins and serves control and counts. Owned by main or by a
/// test.
class Cell {
public:
  explicit Cell(const CellOptions &Options);
  ~Cell();
  Cell(const Cell &) = delete;
  Cell &operator=(const Cell &) = delete;

  /// Addresses of everything as one line of JSON.
  std::string description() const;

  /// Sets fault switches; throws Error(BadRequest). Thread-safe.
  void control(const std::string &Body);

  /// See Counts::toJson(). Thread-safe.
  std::string counts() const { return Seen.toJson(); }

  /// Ends an executor for good; the list goes on to show it as live.
  void killExecutor(std::size_t Index) { Executors.at(Index)->stop(); }

  /// See Counts::forgetPeaks(). Thread-safe.
  void forgetPeaks() { Seen.forgetPeaks(); }

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

  Counts Seen;
  std::map<std::string, Site *> Targets;
  Timeline Time;
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
