/// \file
/// Limits for the clients of a process, derived from its settings and its
/// machine.
#ifndef APRICOTWING_HTTPSERVER_INTAKESETTINGS_H
#define APRICOTWING_HTTPSERVER_INTAKESETTINGS_H

#include "core/httpserver.h"
#include "httpserver/intakebudget.h"

#include <cstdint>
#include <memory>

namespace apricotwing {

/// The section [intake] of the options file. 0: derived from the machine.
struct IntakeSettings {
  std::int64_t BudgetKib = 0;
  std::int64_t AddressKib = 0; ///< 0: unlimited.
  std::int64_t Connections = 0;
  Duration RequestTimeout{30'000};
};

/// What is known of the machine. 0: not stated.
struct MachineLimits {
  std::int64_t MemoryMib = 0;
  std::int64_t FileDescriptors = 0;
};

/// Returns the limits of all servers of a process. Throws Error(BadSettings) if
/// the settings do not fit the machine or leave no room for one permitted
/// request. Thread-safe.
IntakeLimits intakeLimits(const IntakeSettings &Settings,
                          const MachineLimits &Machine);

/// Least budget in KiB: the callers' part holds a body of 256 KiB in one-byte
/// chunks (15 MiB), and the peers' part a message of 16 MiB (32 MiB).
inline constexpr std::int64_t MinIntakeBudgetKib = 61'440;

/// Sets the budget of a server and the kernel's buffers of its connections.
/// Thread-safe for different options.
void applyIntake(HttpServerOptions &Options,
                 const std::shared_ptr<IntakeBudget> &Budget, IntakePart Part);

} // namespace apricotwing

#endif
