#include "httpserver/intakesettings.h"

#include "core/error.h"

#include <gtest/gtest.h>

#include <string>

namespace apricotwing {
namespace {

constexpr MachineLimits Smallest{.MemoryMib = 120, .FileDescriptors = 400};

// Guards against parts that do not hold one permitted request: a body of 256
// KiB in one-byte chunks from a caller, 16 MiB from another instance.
TEST(IntakeSettingsTest, TheSmallestMachineHasRoomForEachPermittedRequest) {
  const IntakeLimits Limits = intakeLimits({}, Smallest);
  const std::size_t Chunks = std::size_t(256) << 10;
  std::size_t Sum = 0;
  for (const IntakePartLimits &Part : Limits.Parts)
    Sum += Part.Bytes;
  EXPECT_LE(Sum, std::size_t(60) << 20);
  EXPECT_GT(Limits.Parts[std::size_t(IntakePart::Callers)].Bytes,
            Chunks * intakeCost("1\r\nx\r\n"));
  EXPECT_GT(Limits.Parts[std::size_t(IntakePart::Peers)].Bytes,
            intakeCost(std::string(std::size_t(16) << 20, 'x')));
}

// Guards against servers that take the descriptors for the store and workers.
TEST(IntakeSettingsTest, LeavesHalfOfTheDescriptors) {
  const IntakeLimits Limits = intakeLimits({}, Smallest);
  std::size_t Sum = Limits.LingeringCloses;
  for (const IntakePartLimits &Part : Limits.Parts)
    Sum += Part.Connections;
  EXPECT_LE(Sum, std::size_t(Smallest.FileDescriptors) / 2);
}

// Guards against a configured limit that the machine cannot hold.
TEST(IntakeSettingsTest, RefusesWhatDoesNotFit) {
  EXPECT_NO_THROW(intakeLimits({.BudgetKib = 61'440}, Smallest));
  EXPECT_THROW(intakeLimits({.BudgetKib = 61'441}, Smallest), Error);
  EXPECT_THROW(intakeLimits({.BudgetKib = 1000}, Smallest), Error);
  EXPECT_NO_THROW(intakeLimits({.Connections = 200}, Smallest));
  EXPECT_THROW(intakeLimits({.Connections = 201}, Smallest), Error);
}

} // namespace
} // namespace apricotwing
