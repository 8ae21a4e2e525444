/// \file
/// apricotwing-soak: runs real processes of the entry instances against
/// stand-ins of their platform, with faults from outside, and checks that no
/// job stands still although there is room and no task runs twice. Exits with 0
/// if nothing was found, 1 if something was, 2 if the deployment did not start
/// or no run has.
#include "soak/soak.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>

namespace apricotwing::soak {

namespace {

bool readOptions(int Count, const char *const *Arguments, Options &Chosen) {
  namespace po = boost::program_options;
  po::options_description Description("apricotwing-soak");
  Description.add_options()("help", "show this text")(
      "entry", po::value(&Chosen.Program)->required(),
      "path of apricotwing-entry")("folder",
                                   po::value(&Chosen.Folder)->required(),
                                   "for settings, logs and the record")(
      "seed", po::value(&Chosen.Seed)->default_value(Chosen.Seed),
      "")("faults", po::value(&Chosen.Faults)->default_value(Chosen.Faults),
          "list of faults in turn; lists joined by + run side by side: "
          "crash-series, crash-long, fail-runs, refuse-starts, burst, "
          "hang, kill-leader, kill-all, cut-store, cut-leader, "
          "freeze-leader, recut, recut-kill, recut-drawn, late-orders, roll, "
          "policies, advice-slow, advice-errors, "
          "advice-errors-zone, advice-silent, mix, none")(
      "traffic",
      po::value(&Chosen.TrafficSeconds)->default_value(Chosen.TrafficSeconds),
      "length of the traffic in seconds")(
      "faults-at",
      po::value(&Chosen.FaultsAtSecond)->default_value(Chosen.FaultsAtSecond),
      "second of the traffic at which the faults begin")(
      "quiet",
      po::value(&Chosen.QuietSeconds)->default_value(Chosen.QuietSeconds),
      "longest time after the traffic in seconds")(
      "load", po::value(&Chosen.Load)->default_value(Chosen.Load),
      "relative to the usual jobs per second")(
      "throttle", po::bool_switch(&Chosen.Throttle),
      "each entry runs 10 ms of every 40 ms")(
      "rounds", po::value(&Chosen.Rounds)->default_value(Chosen.Rounds),
      "of recut and recut-kill")(
      "only-starts", po::bool_switch(&Chosen.OnlyStarts),
      "exit with 1 only for wrong starts, tasks that ran twice and entries "
      "that ended by themselves");
  po::variables_map Values;
  po::store(po::parse_command_line(Count, Arguments, Description), Values);
  if (Values.contains("help")) {
    std::cout << Description;
    return false;
  }
  po::notify(Values);
  return true;
}

} // namespace

} // namespace apricotwing::soak

int main(int Count, char **Arguments) {
  using namespace apricotwing::soak;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Options Chosen;
    if (!readOptions(Count, Arguments, Chosen))
      return 0;
    std::filesystem::create_directories(Chosen.Folder);
    nowMs();
    Soak Trial(Chosen);
    return Trial.run();
  } catch (const std::exception &Problem) {
    std::cerr << "apricotwing-soak: " << Problem.what() << '\n';
    return 2;
  }
}
