#include "cell/changelog.h"

#include "cell/journal.h"
#include "support/fixedseeds.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace apricotwing::cell {
namespace {

/// Rows of a shard as the store keeps them.
class Rows {
public:
  void write(const std::vector<RowChange> &Writes) {
    std::map<RowName, int> Seen;
    for (const RowChange &Row : Writes) {
      const RowName Name{Row.Table, Row.Key};
      EXPECT_EQ(++Seen[Name], 1) << Row.Table << " " << Row.Key;
      if (Row.Value)
        Values[Name] = *Row.Value;
      else
        Values.erase(Name);
    }
  }

  /// The log that a new leader restores.
  ChangeLog restoredLog() const {
    ChangeLog Log;
    for (const auto &[Name, Value] : Values) {
      if (Name.first != PackedTable)
        continue;
      EXPECT_TRUE(Log.restore({Name.first, Name.second, Value, 0, false}));
    }
    return Log;
  }

  /// The state of the shard that a new leader reads.
  std::map<RowName, std::string> state() const {
    std::map<RowName, std::string> Result;
    for (const auto &[Name, Value] : Values)
      if (Name.first != PackedTable)
        Result[Name] = Value;
    for (const auto &[Name, Value] : restoredLog().pendingChanges()) {
      Result.erase(Name);
      if (Value)
        Result[Name] = *Value;
    }
    return Result;
  }

  std::size_t packedRows() const {
    std::size_t Count = 0;
    for (const auto &[Name, Value] : Values)
      Count += Name.first == PackedTable ? 1 : 0;
    return Count;
  }

private:
  std::map<RowName, std::string> Values;
};

RowChanges changesOf(int Count, const std::string &Value) {
  RowChanges Result;
  for (int Index = 0; Index < Count; ++Index)
    Result[{"jobs", std::to_string(Index)}] = Value;
  return Result;
}

TEST(ChangeLogTest, WritesFewChangesToTheirRows) {
  const ChangeLog Log;
  const auto Plan = Log.plan(changesOf(98, "v"), 1, true);
  EXPECT_EQ(Plan.Writes.size(), 98U);
  EXPECT_TRUE(Plan.PackedKeys.empty());
}

// Guards against a slow store that limits the number of changes per second to
// the rows of one transaction per answer.
TEST(ChangeLogTest, PacksManyChangesIntoOneTransaction) {
  const ChangeLog Log;
  const auto Plan = Log.plan(changesOf(1500, std::string(200, 'v')), 1, false);
  EXPECT_LE(Plan.Writes.size(), 12U);
  for (const RowChange &Row : Plan.Writes)
    EXPECT_LE(Row.Value->size(), 65'536U);
}

// Guards against a packed row that outgrows the store by its escaped quotes.
TEST(ChangeLogTest, PacksTheLargestValueIntoARowThatFits) {
  std::string Largest = "[\"";
  while (Largest.size() < MaxValueBytes - 3)
    Largest += "\\\"";
  Largest += "\"]";
  for (const std::size_t Size :
       {Largest.size(), std::size_t(40'000), std::size_t(16'000)}) {
    RowChanges Changes = changesOf(120, "v");
    const std::string Value = "[\"" + Largest.substr(Largest.size() - Size + 2);
    Changes[{"jobs", "large"}] = Value;
    const auto Plan = ChangeLog().plan(Changes, 1, false);
    Rows Store;
    Store.write(Plan.Writes);
    for (const RowChange &Row : Plan.Writes)
      EXPECT_LE(Row.Value->size(), 65'536U);
    EXPECT_EQ(Store.state().at({"jobs", "large"}), Value);
  }
}

// Guards against packed rows that remain forever, so that each change is
// written twice and a takeover takes longer and longer.
TEST(ChangeLogTest, BringsAllRowsUpToDateOnceTheStoreIsFast) {
  ChangeLog Log;
  Rows Store;
  std::uint64_t Number = 0;
  const auto Commit = [&](const RowChanges &Changes, bool MayUpdate) {
    const auto Plan = Log.plan(Changes, ++Number, MayUpdate);
    EXPECT_LE(Plan.Writes.size(), ChangeLog::MaxRows);
    Store.write(Plan.Writes);
    Log.apply(Plan);
  };
  for (int Round = 0; Round < 20; ++Round)
    Commit(changesOf(1000, "v" + std::to_string(Round)), false);
  EXPECT_EQ(Store.packedRows(), 20U);
  // Some changes keep coming.
  for (int Round = 0; Round < 30 && Log.isActive(); ++Round)
    Commit(changesOf(10, "w" + std::to_string(Round)), true);
  EXPECT_FALSE(Log.isActive());
  EXPECT_EQ(Store.packedRows(), 0U);
  EXPECT_EQ(Store.state().size(), 1000U);
  EXPECT_EQ(Store.state().at({"jobs", "999"}), "v19");
}

TEST(ChangeLogTest, RejectsAnInvalidPackedRow) {
  ChangeLog Log;
  EXPECT_FALSE(Log.restore(
      {PackedTable, "00000000000000000001-000", "[[1]]", 1, false}));
  // It does not block the removal of the packed rows.
  const auto Plan = Log.plan({}, 2, true);
  ASSERT_EQ(Plan.Writes.size(), 1U);
  EXPECT_FALSE(Plan.Writes[0].Value);
}

struct Step {
  int Changes = 0;
  int Salt = 0;
  bool MayUpdate = false;
  bool Restart = false;
};

std::ostream &operator<<(std::ostream &To, const Step &Value) {
  return To << "{" << Value.Changes << "," << Value.Salt << ","
            << Value.MayUpdate << "," << Value.Restart << "}";
}

// Random commits, with changes of leaders between them: what a new leader reads
// is at each moment what was committed.
TEST(ChangeLogTest, ANewLeaderReadsWhatWasCommitted) {
  const auto AnyStep = rc::gen::apply(
      [](int Changes, int Salt, bool MayUpdate, int Restart) {
        return Step{Changes, Salt, MayUpdate, Restart == 0};
      },
      rc::gen::weightedOneOf<int>(
          {{3, rc::gen::inRange(0, 30)}, {1, rc::gen::inRange(80, 400)}}),
      rc::gen::inRange(0, 100'000), rc::gen::arbitrary<bool>(),
      rc::gen::inRange(0, 6));
  checkWithFixedSeeds(
      [&] {
        ChangeLog Log;
        Rows Store;
        std::map<RowName, std::string> Model;
        std::uint64_t Number = 0;
        for (const Step &Next :
             *rc::gen::container<std::vector<Step>>(AnyStep)) {
          if (Next.Restart)
            Log = Store.restoredLog();
          RowChanges Changes;
          for (int Index = 0; Index < Next.Changes; ++Index) {
            const int Mixed = Next.Salt + Index * 7919;
            const RowName Name{Mixed % 2 ? "jobs" : "ended",
                               std::to_string(Mixed % 500)};
            if (Mixed % 3 == 0)
              Changes[Name] = std::nullopt;
            else
              Changes[Name] = std::string(std::size_t(Mixed % 600), 'x') +
                              std::to_string(Mixed);
          }
          const auto Plan = Log.plan(Changes, ++Number, Next.MayUpdate);
          RC_ASSERT(Plan.Writes.size() <= ChangeLog::MaxRows);
          Store.write(Plan.Writes);
          Log.apply(Plan);
          for (const auto &[Name, Value] : Changes) {
            Model.erase(Name);
            if (Value)
              Model[Name] = *Value;
          }
          RC_ASSERT(Store.state() == Model);
        }
      },
      12);
}

} // namespace
} // namespace apricotwing::cell
