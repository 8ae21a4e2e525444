/// \file
/// apricotwing-standins: the platform that apricotwing runs on, for tests.
#include "core/error.h"
#include "standins/cell.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

namespace po = boost::program_options;
using apricotwing::standins::Cell;
using apricotwing::standins::CellOptions;

template <typename Value> auto *setting(Value &Target) {
  return po::value<Value>(&Target)->default_value(Target);
}

/// Reads the command line and the INI file that it may name; false if only
/// help was wanted.
bool readOptions(int Count, const char *const *Arguments, CellOptions &Into) {
  std::string File;
  po::options_description Known("apricotwing-standins");
  auto &Capacity = Into.WorkerCapacity;
  Known.add_options()("help", "show this text")(
      "settings", po::value(&File), "INI file with the same options")(
      "host", setting(Into.Host), "address to bind")(
      "control-port", setting(Into.ControlPort), "0: any free port")(
      "table-port", setting(Into.TablePort), "0: any free port")(
      "objects-port", setting(Into.ObjectsPort), "0: any free port")(
      "list-port", setting(Into.ListPort), "0: any free port")(
      "workers", setting(Into.Workers), "number of workers")(
      "executors", setting(Into.Executors), "number of executors")(
      "zones", setting(Into.Zones), "number of availability zones")(
      "workers-per-rack", setting(Into.WorkersPerRack),
      "size of a rack")("slots", setting(Into.Slots), "slots of an executor")(
      "work-ms", setting(Into.WorkMs), "default duration of a request")(
      "upstream", setting(Into.Upstream), "upstream of the executors")(
      "worker-cpu-millis", setting(Capacity.CpuMillis), "size of a worker")(
      "worker-memory-mib", setting(Capacity.MemoryMib),
      "size of a worker")("worker-accelerators", setting(Capacity.Accelerators),
                          "size of a worker");
  po::variables_map Found;
  po::store(po::parse_command_line(Count, Arguments, Known), Found);
  if (Found.contains("help")) {
    std::cout << Known;
    return false;
  }
  if (Found.contains("settings"))
    po::store(po::parse_config_file(Found["settings"].as<std::string>().c_str(),
                                    Known),
              Found);
  po::notify(Found);
  return true;
}

} // namespace

int main(int Count, char **Arguments) {
  // Blocked before any thread starts, so that sigwait() receives them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  try {
    CellOptions Options;
    if (!readOptions(Count, Arguments, Options))
      return 0;
    const Cell Everything(Options);
    std::cout << Everything.description() << std::endl;
    int Signal = 0;
    sigwait(&Signals, &Signal);
    // Requests that are never answered would delay an orderly end.
    std::_Exit(0);
  } catch (const std::exception &Failure) {
    std::cerr << "apricotwing-standins: " << Failure.what() << '\n';
    return 2;
  }
}
