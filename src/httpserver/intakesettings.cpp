#include "httpserver/intakesettings.h"

#include "core/error.h"

#include <sys/resource.h>

#include <algorithm>
#include <string>

namespace apricotwing {

namespace {

constexpr std::int64_t KibPerMib = 1024;

/// More are not used unless the machine states them, as each connection takes
/// memory of the kernel.
constexpr std::int64_t MaxUnstatedDescriptors = 4096;

/// More is of no use: it holds 15 such bodies at once.
constexpr std::int64_t MaxDefaultBudgetKib = 512 * KibPerMib;

/// The rest of the memory is for jobs, workers and buffers of the system.
constexpr std::int64_t LargestShareOfMemory = 2;

constexpr std::size_t CallerPercent = 44;
constexpr std::size_t ProbePercent = 0; // It shares the callers' part.
constexpr std::size_t PeerPercent = 56;

/// Parts of the descriptors. More than half of them are left to the store, the
/// workers and calls to other instances.
constexpr std::int64_t CallerFraction = 4;
constexpr std::int64_t PeerFraction = 8;
constexpr std::int64_t ProbeFraction = 32;
constexpr std::int64_t LingeringFraction = 32;
constexpr std::int64_t MinProbeConnections = 4;
constexpr std::int64_t MaxLingeringCloses = 256;

/// Sizes of the kernel's buffers. Usual requests and responses of callers fit
/// into theirs. Messages of peers are larger, and their connections fewer.
constexpr std::size_t CallerReceiveBufferBytes = std::size_t(8) << 10;
constexpr std::size_t CallerSendBufferBytes = std::size_t(16) << 10;
constexpr std::size_t PeerReceiveBufferBytes = std::size_t(32) << 10;
constexpr std::size_t PeerSendBufferBytes = std::size_t(64) << 10;

std::int64_t availableDescriptors(std::int64_t Stated) {
  rlimit Files{};
  const std::int64_t Wanted = Stated > 0 ? Stated : MaxUnstatedDescriptors;
  if (getrlimit(RLIMIT_NOFILE, &Files) == 0 && Files.rlim_cur != RLIM_INFINITY)
    return std::min(Wanted, std::int64_t(Files.rlim_cur));
  return Wanted;
}

} // namespace

IntakeLimits intakeLimits(const IntakeSettings &Settings,
                          const MachineLimits &Machine) {
  const std::int64_t MemoryKib = Machine.MemoryMib * KibPerMib;
  const std::int64_t LargestKib = MemoryKib / LargestShareOfMemory;
  std::int64_t BudgetKib = Settings.BudgetKib;
  if (BudgetKib == 0)
    BudgetKib = MemoryKib == 0 ? MaxDefaultBudgetKib / 4
                               : std::clamp(LargestKib, MinIntakeBudgetKib,
                                            MaxDefaultBudgetKib);
  else if (BudgetKib < MinIntakeBudgetKib ||
           (MemoryKib > 0 && BudgetKib > LargestKib))
    throw Error(ErrorKind::BadSettings,
                "intake.budget_kib = " + std::to_string(BudgetKib) +
                    ": does not fit the machine, which has " +
                    std::to_string(Machine.MemoryMib) + " MiB of memory",
                "give at least " + std::to_string(MinIntakeBudgetKib) +
                    " and at most half of the memory (limits.memory_mb), or 0");
  const std::int64_t Files = availableDescriptors(Machine.FileDescriptors);
  const std::int64_t Callers =
      Settings.Connections > 0 ? Settings.Connections : Files / CallerFraction;
  if (Callers > Files / 2)
    throw Error(ErrorKind::BadSettings,
                "intake.connections = " + std::to_string(Callers) +
                    ": more than half of the " + std::to_string(Files) +
                    " file descriptors",
                "give at most half of limits.file_descriptors, or 0");
  IntakeLimits Result;
  const auto SetPart = [&](IntakePart Part, std::size_t Percent,
                           std::int64_t Connections) {
    Result.Parts[std::size_t(Part)] = {
        std::size_t(BudgetKib) * KibPerMib / 100 * Percent,
        std::size_t(std::max<std::int64_t>(Connections, 1))};
  };
  SetPart(IntakePart::Callers, CallerPercent, Callers);
  SetPart(IntakePart::Probe, ProbePercent,
          std::max(Files / ProbeFraction, MinProbeConnections));
  SetPart(IntakePart::Peers, PeerPercent, Files / PeerFraction);
  Result.BytesPerAddress = std::size_t(Settings.AddressKib) * KibPerMib;
  Result.RequestTimeout = Settings.RequestTimeout;
  Result.LingeringCloses =
      std::size_t(std::min(Files / LingeringFraction, MaxLingeringCloses));
  return Result;
}

void applyIntake(HttpServerOptions &Options,
                 const std::shared_ptr<IntakeBudget> &Budget, IntakePart Part) {
  const bool IsForPeers = Part == IntakePart::Peers;
  Options.Intake = Budget;
  Options.Part = Part;
  Options.ReceiveBufferBytes =
      IsForPeers ? PeerReceiveBufferBytes : CallerReceiveBufferBytes;
  Options.SendBufferBytes =
      IsForPeers ? PeerSendBufferBytes : CallerSendBufferBytes;
}

} // namespace apricotwing
