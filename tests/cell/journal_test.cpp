#include "cell/journal.h"

#include "cell/codec.h"
#include "emulator/emulatedstore.h"
#include "emulator/virtualtime.h"

#include <gtest/gtest.h>

#include <string>

namespace apricotwing::cell {
namespace {

using namespace std::chrono_literals;

class JournalTest : public testing::Test {
protected:
  JournalTest() : Store(Time, 1), Handle(Store, "n0") {
    Record.Term = 1;
    Record.Process = "n0#1";
    Record.Instance = {"n0", "n0", "zone", 1};
    Store.put(LeaderTable, partitionOf(0), LeaderKey, encode(Record));
    Handle.read(LeaderTable, partitionOf(0), LeaderKey, 1,
                [this](const ReadResult &Result) {
                  Version = Result.Rows.front().Version;
                });
    Time.advanceTo(Time.now() + 100ms);
  }

  LeaderRecord storedRecord() const {
    return *decodeLeaderRecord(
        Store.value(LeaderTable, partitionOf(0), LeaderKey));
  }

  emulator::VirtualTime Time;
  emulator::EmulatedStore Store;
  emulator::EmulatedStore::Handle Handle;
  const Timing Times;
  LeaderRecord Record;
  std::int64_t Version = 0;
};

// Guards against a leader that ends its term without having cleared its
// record, so that the others wait for the end of its lease.
TEST_F(JournalTest, StepsDownAfterTheCommitInFlight) {
  Journal Leader(Handle, Time, Times, partitionOf(0), Record, Version,
                 Time.now());
  Leader.put(JobTable, "job", "x");
  Leader.pump();
  Leader.stepDown("n1");
  for (int Step = 0; Step < 50 && !Leader.isDeposed(); ++Step) {
    Time.advanceTo(Time.now() + 1ms);
    Leader.pump();
  }
  EXPECT_TRUE(Leader.isDeposed());
  EXPECT_EQ(Store.value(JobTable, partitionOf(0), "job"), "x");
  EXPECT_EQ(storedRecord().Instance.Name, "");
  EXPECT_EQ(storedRecord().Successor, "n1");
}

} // namespace
} // namespace apricotwing::cell
