#include "core/error.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

namespace options = boost::program_options;

options::options_description describeOptions() {
  options::options_description Description("Options");
  Description.add_options()("help", "print this help")(
      "version", "print the version")("help-settings",
                                      "print every key of the settings file")(
      "settings", options::value<std::string>(), "run with this settings file")(
      "check-settings", options::value<std::string>(),
      "check this settings file and exit");
  return Description;
}

/// Blocks SIGTERM and SIGINT before any thread starts. All threads inherit the
/// mask, so only sigwait() in runDaemon() receives these signals.
sigset_t blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

int runDaemon(const std::string &File) {
  const apricotwing::Settings DaemonSettings = apricotwing::loadSettings(File);
  const sigset_t Signals = blockSignals();
  apricotwing::Daemon Process(DaemonSettings);
  int Received = 0;
  sigwait(&Signals, &Received);
  Process.shutDown();
  return 0;
}

int run(int Count, char **Arguments) {
  const options::options_description Description = describeOptions();
  options::variables_map Parsed;
  options::store(options::parse_command_line(Count, Arguments, Description),
                 Parsed);
  if (Parsed.count("help") > 0) {
    std::cout << "Usage: apricotwingd --settings FILE\n" << Description;
    return 0;
  }
  if (Parsed.count("version") > 0) {
    std::cout << "apricotwingd " << APRICOTWING_VERSION << "\n";
    return 0;
  }
  if (Parsed.count("help-settings") > 0) {
    std::cout << apricotwing::settingsHelp();
    return 0;
  }
  if (Parsed.count("check-settings") > 0) {
    const auto File = Parsed["check-settings"].as<std::string>();
    apricotwing::loadSettings(File);
    std::cout << File << ": settings are valid\n";
    return 0;
  }
  if (Parsed.count("settings") > 0)
    return runDaemon(Parsed["settings"].as<std::string>());
  std::cerr << "apricotwingd: no settings file; give one with --settings\n";
  return ExitUsage;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return run(Count, Arguments);
  } catch (const apricotwing::Error &Failure) {
    std::cerr << "apricotwingd: " << Failure.what() << "\n";
    return Failure.kind() == apricotwing::ErrorKind::BadSettings ? ExitUsage
                                                                 : ExitFailed;
  } catch (const options::error &Failure) {
    std::cerr << "apricotwingd: " << Failure.what()
              << "; see apricotwingd --help\n";
    return ExitUsage;
  } catch (const std::exception &Failure) {
    std::cerr << "apricotwingd: " << Failure.what() << "\n";
    return ExitFailed;
  }
}
