/// \file
/// apricotwing-standins: serves stand-ins for the platform services that
/// apricotwing needs, for tests.
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

template <typename Value> auto *optionValue(Value &Target) {
  return po::value<Value>(&Target)->default_value(Target);
}

/// Reads the command line and the INI file that --settings names. Returns false
/// if --help was given.
bool readOptions(int Count, const char *const *Arguments,
                 CellOptions &Options) {
  std::string File;
  po::options_description Description("apricotwing-standins");
  auto &Capacity = Options.WorkerCapacity;
  Description.add_options()("help", "show this text")(
      "settings", po::value(&File), "INI file with the same options")(
      "host", optionValue(Options.Host), "address to bind")(
      "control-port", optionValue(Options.ControlPort), "0: any free port")(
      "table-port", optionValue(Options.TablePort), "0: any free port")(
      "objects-port", optionValue(Options.ObjectsPort), "0: any free port")(
      "list-port", optionValue(Options.ListPort), "0: any free port")(
      "workers", optionValue(Options.Workers), "number of workers")(
      "executors", optionValue(Options.Executors), "number of executors")(
      "zones", optionValue(Options.Zones), "number of availability zones")(
      "workers-per-rack", optionValue(Options.WorkersPerRack),
      "size of a rack")("slots", optionValue(Options.Slots),
                        "slots of an executor")(
      "work-ms", optionValue(Options.WorkMs), "default duration of a request")(
      "upstream", optionValue(Options.Upstream), "upstream of the executors")(
      "worker-cpu-millis", optionValue(Capacity.CpuMillis), "size of a worker")(
      "worker-memory-mib", optionValue(Capacity.MemoryMib), "size of a worker")(
      "worker-accelerators", optionValue(Capacity.Accelerators),
      "size of a worker");
  po::variables_map Values;
  po::store(po::parse_command_line(Count, Arguments, Description), Values);
  if (Values.contains("help")) {
    std::cout << Description;
    return false;
  }
  if (Values.contains("settings"))
    po::store(po::parse_config_file(
                  Values["settings"].as<std::string>().c_str(), Description),
              Values);
  po::notify(Values);
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
    const Cell StandinCell(Options);
    std::cout << StandinCell.description() << std::endl;
    int Signal = 0;
    sigwait(&Signals, &Signal);
    // Requests that are never answered would delay a regular shutdown.
    std::_Exit(0);
  } catch (const std::exception &Failure) {
    std::cerr << "apricotwing-standins: " << Failure.what() << '\n';
    return 2;
  }
}
