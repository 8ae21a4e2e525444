/// \file
/// Limits for clients of an entry instance, derived from its settings and its
/// machine.
#ifndef APRICOTWING_ENTRY_INTAKESETTINGS_H
#define APRICOTWING_ENTRY_INTAKESETTINGS_H

#include "httpserver/intakebudget.h"

#include <cstdint>

namespace apricotwing::entry {

/// The section [intake] of the options file. 0: derived from the machine.
struct IntakeSettings {
  std::int64_t BudgetKib = 0;
  std::int64_t AddressKib = 0; ///< 0: unlimited.
  std::int64_t Connections = 0;
  Duration RequestTimeout{30'000};
};

/// What the platform states about the machine. 0: not stated.
struct MachineLimits {
  std::int64_t MemoryMib = 0;
  std::int64_t FileDescriptors = 0;
};

/// Returns the limits of all servers of a process. Throws Error(BadSettings) if
/// the settings do not fit the machine or leave no room for one permitted
/// request. Thread-safe.
IntakeLimits intakeLimits(const IntakeSettings &Settings,
                          const MachineLimits &Machine);

} // namespace apricotwing::entry

#endif
