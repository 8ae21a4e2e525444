#include "core/error.h"
#include "core/run.h"

#include <gtest/gtest.h>

namespace apricotwing {
namespace {

RunSpec validSpec() {
  RunSpec Spec;
  Spec.PerTask = {1000, 512, 0};
  Spec.IdempotencyKey = "key";
  return Spec;
}

// Guards against resource sizes that overflow later calculations for a worker.
TEST(RunSpecTest, RejectsSizesOutOfRange) {
  EXPECT_NO_THROW(validate(validSpec()));
  RunSpec Negative = validSpec();
  Negative.PerTask.CpuMillis = -1;
  EXPECT_THROW(validate(Negative), Error);
  RunSpec Huge = validSpec();
  Huge.PerTask.MemoryMib = MaxMemoryMibPerTask + 1;
  EXPECT_THROW(validate(Huge), Error);
  RunSpec Empty = validSpec();
  Empty.PerTask = {};
  EXPECT_THROW(validate(Empty), Error);
}

// Guards against a task id whose text form parses as a different task.
TEST(TaskIdTest, RoundTripsThroughText) {
  const TaskId Id{"run-1", 17};
  EXPECT_EQ(parseTaskId(toString(Id)), Id);
  EXPECT_THROW(parseTaskId("run-1"), Error);
  EXPECT_THROW(parseTaskId("run-1/x"), Error);
}

} // namespace
} // namespace apricotwing
