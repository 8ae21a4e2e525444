#include "cell/journal.h"

#include "cell/codec.h"
#include "emulator/emulatedstore.h"
#include "emulator/virtualtime.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotwing::cell {
namespace {

using namespace std::chrono_literals;

/// Keeps the names and subjects of the log lines.
class LineLog final : public EventLog {
public:
  void event(std::string_view Name, std::string_view Subject,
             std::initializer_list<Field> Fields) override {
    std::string Line = std::string(Name) + " " + std::string(Subject);
    for (const auto &[Key, Value] : Fields)
      Line += " " + std::string(Key) + "=" + Value;
    Lines.push_back(std::move(Line));
  }

  std::vector<std::string> Lines;
};

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

  /// Expects that all changes are stored without a refused transaction.
  void expectStored(Journal &Leader) {
    bool Stored = false;
    Leader.whenCommitted([&Stored] { Stored = true; });
    for (int Step = 0; Step < 500 && !Stored; ++Step) {
      Leader.pump();
      Time.advanceTo(Time.now() + 1ms);
    }
    EXPECT_TRUE(Stored);
    EXPECT_EQ(Store.tooLarge(), 0);
  }

  LeaderRecord storedRecord() const {
    return *decodeLeaderRecord(
        Store.value(LeaderTable, partitionOf(0), LeaderKey));
  }

  emulator::VirtualTime Time;
  emulator::EmulatedStore Store;
  emulator::EmulatedStore::Handle Handle;
  LineLog Events;
  const Timing Times;
  LeaderRecord Record;
  std::int64_t Version = 0;
};

// Guards against a leader that ends its term without having cleared its
// record, so that the others wait for the end of its lease.
TEST_F(JournalTest, StepsDownAfterTheCommitInFlight) {
  Journal Leader(Handle, Time, Events, Times, partitionOf(0), Record, Version,
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

// Guards against a shard that stops without a trace and calls without end.
TEST_F(JournalTest, LogsTheRowThatTheStoreRefusesForGood) {
  Journal Leader(Handle, Time, Events, Times, partitionOf(0), Record, Version,
                 Time.now());
  Leader.put(JobTable, "small", "x");
  Leader.put(JobTable, "large", std::string(70'000, 'x'));
  for (int Step = 0; Step < 2500; ++Step) {
    Leader.pump();
    Time.advanceTo(Time.now() + 1ms);
  }
  EXPECT_GT(Leader.failureDuration(), 2s);
  EXPECT_LE(Store.tooLarge(), 3);
  ASSERT_FALSE(Events.Lines.empty());
  EXPECT_THAT(Events.Lines.front(),
              testing::StartsWith("commit refused for good large table=jobs "
                                  "row_bytes=70000 partition=cell rows=2"));
}

// Guards against a single write that no transaction can hold.
TEST_F(JournalTest, DividesAWriteThatIsTooLargeForOneCommit) {
  Journal Leader(Handle, Time, Events, Times, partitionOf(0), Record, Version,
                 Time.now());
  std::vector<RowChange> Changes;
  Changes.reserve(150);
  for (int Number = 0; Number < 150; ++Number)
    Changes.push_back(
        {JobTable, std::to_string(Number), std::string(15'000, 'x')});
  Leader.write(Changes);
  expectStored(Leader);
}

// Guards against packed changes that outgrow a transaction.
TEST_F(JournalTest, DividesChangesThatArePackedIntoTransactionsThatFit) {
  Journal Leader(Handle, Time, Events, Times, partitionOf(0), Record, Version,
                 Time.now());
  for (int Number = 0; Number < 150; ++Number)
    Leader.put(JobTable, std::to_string(Number),
               "[\"" + std::string(4000, '"') + "\"]");
  expectStored(Leader);
}

} // namespace
} // namespace apricotwing::cell
