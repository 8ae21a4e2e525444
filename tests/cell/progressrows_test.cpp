#include "cell/progressrows.h"

#include "cell/codec.h"
#include "cell/journal.h"
#include "support/fixedseeds.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace apricotwing::cell {
namespace {

using jobs::JobProgress;
using jobs::StepProgress;

/// The rows of one table as the store keeps them.
class Table {
public:
  void write(const RowChange &Change) {
    if (Change.Value)
      Rows[Change.Key] = *Change.Value;
    else
      EXPECT_EQ(Rows.erase(Change.Key), 1U) << Change.Key;
  }

  void write(const std::vector<RowChange> &Changes) {
    for (const RowChange &Change : Changes)
      write(Change);
  }

  /// Reads all rows in a random order, like a new leader.
  std::map<std::string, JobProgress> read(ProgressRows &Into,
                                          std::mt19937 &Random) const {
    std::vector<std::pair<std::string, std::string>> Shuffled(Rows.begin(),
                                                              Rows.end());
    std::shuffle(Shuffled.begin(), Shuffled.end(), Random);
    std::map<std::string, JobProgress> Result;
    for (const auto &[Key, Value] : Shuffled)
      EXPECT_TRUE(Into.restore({ProgressTable, Key, Value, 0, false}, Result));
    return Result;
  }

  std::size_t largest() const {
    std::size_t Result = 0;
    for (const auto &[Key, Value] : Rows)
      Result = std::max(Result, Value.size());
    return Result;
  }

  std::map<std::string, std::string> Rows;
};

jobs::JobSpec specOf(const std::vector<int> &Counts) {
  jobs::JobSpec Spec;
  Spec.Id = "job";
  for (const int Count : Counts) {
    jobs::StepSpec Step;
    Step.Count = Count;
    Spec.Steps.push_back(Step);
  }
  return Spec;
}

/// Changes the state of the tasks \p From to \p To - 1 at random, with
/// checkpoints of less than \p Length bytes.
void change(jobs::Job &Job, int Step, int From, int To, std::mt19937 &Random,
            int Length = 300) {
  const auto Below = [&Random](int Limit) {
    return std::uniform_int_distribution<int>(0, Limit - 1)(Random);
  };
  jobs::StepState &State = Job.Steps[std::size_t(Step)];
  State.GangFailures += Below(2);
  State.HasBegun = State.HasBegun || Below(3) == 0;
  for (int Index = From; Index < To; ++Index) {
    jobs::TaskState &Task = State.Tasks[std::size_t(Index)];
    if (Task.Phase == jobs::TaskPhase::Done)
      continue;
    Task.Phase = jobs::TaskPhase(Below(8) == 0 ? 2 : Below(2));
    Task.Worker = {"w" + std::to_string(Below(100)), 1'790'000'000'000};
    ++Task.Run;
    Task.Confirmed = Below(2) == 0;
    Task.Failures += Below(10) == 0 ? 1 : 0;
    if (Below(4) == 0)
      Task.Checkpoint.assign(std::size_t(Below(Length)), '"');
  }
}

jobs::Job jobOf(const jobs::JobSpec &Spec) {
  jobs::Job Result;
  Result.Spec = Spec;
  Result.restore({});
  return Result;
}

/// Without what a job without rows does not have.
std::vector<StepProgress> trimmed(const JobProgress &Progress,
                                  std::size_t Steps) {
  std::vector<StepProgress> Result = Progress.Steps;
  Result.resize(Steps);
  return Result;
}

// Guards against rows that outgrow the limit or are read differently.
TEST(ProgressRowsTest, ANewLeaderReadsWhatWasStored) {
  const auto Counts = rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::weightedOneOf<int>(
          {{3, rc::gen::inRange(1, 20)}, {1, rc::gen::inRange(100, 1500)}})));
  checkWithFixedSeeds(
      [&] {
        const jobs::JobSpec Spec = specOf(*Counts);
        std::mt19937 Random(*rc::gen::arbitrary<unsigned>());
        jobs::Job Job = jobOf(Spec);
        Table Store;
        ProgressRows Rows;
        for (int Round = *rc::gen::inRange(1, 8); Round > 0; --Round) {
          const int Step = *rc::gen::inRange(0, int(Spec.Steps.size()));
          const int Count = Spec.Steps[std::size_t(Step)].Count;
          const int From = *rc::gen::inRange(0, Count);
          change(Job, Step, From, *rc::gen::inRange(From, Count + 1), Random);
          const JobProgress Progress = Job.progress();
          Store.write(Rows.update(Spec, Progress));
          RC_ASSERT(Rows.update(Spec, Progress).empty());
          const bool HasParts = Store.Rows.size() > 1;
          RC_ASSERT(Store.largest() <= (HasParts ? 16'000U : MaxValueBytes));
          ProgressRows Restored;
          const auto Read = Store.read(Restored, Random);
          const auto Found = Read.find(Spec.Id);
          const std::size_t Steps = Spec.Steps.size();
          RC_ASSERT(trimmed(Found == Read.end() ? JobProgress{} : Found->second,
                            Steps) == trimmed(Progress, Steps));
          if (*rc::gen::arbitrary<bool>())
            Rows = Restored;
        }
        Store.write(Rows.remove(Spec.Id));
        RC_ASSERT(Store.Rows.empty());
      },
      12);
}

// Guards against finished tasks that are lost with the rest of an update.
TEST(ProgressRowsTest, KeepsFinishedTasksAfterEachPartOfAnUpdate) {
  std::mt19937 Random(1);
  const jobs::JobSpec Spec = specOf({200, 600});
  jobs::Job Job = jobOf(Spec);
  Table Store;
  ProgressRows Rows;
  for (int Round = 0; Round < 12; ++Round) {
    const JobProgress Before = Job.progress();
    // Parts are divided while the checkpoints are long.
    change(Job, Round % 2, 0, Round % 2 ? 600 : 200, Random,
           Round < 4 ? 1 : 300);
    if (Round >= 8)
      for (jobs::StepState &Step : Job.Steps)
        for (jobs::TaskState &Task : Step.Tasks)
          Task.Checkpoint.clear();
    for (const RowChange &Change : Rows.update(Spec, Job.progress())) {
      Store.write(Change);
      ProgressRows Restored;
      auto Read = Store.read(Restored, Random);
      const auto Steps = trimmed(Read[Spec.Id], 2);
      for (std::size_t Step = 0; Step < Before.Steps.size(); ++Step)
        ASSERT_TRUE(std::includes(
            Steps[Step].Done.begin(), Steps[Step].Done.end(),
            Before.Steps[Step].Done.begin(), Before.Steps[Step].Done.end()));
      // The next leader stores its own view over what it has found.
      jobs::Job Next = jobOf(Spec);
      Next.restore(Read[Spec.Id]);
      Table Copy = Store;
      Copy.write(Restored.update(Spec, Next.progress()));
      ProgressRows Again;
      auto ReadAgain = Copy.read(Again, Random);
      ASSERT_EQ(trimmed(ReadAgain[Spec.Id], 2), trimmed(Next.progress(), 2));
    }
  }
}

// Guards against progress of the former version that is not read.
TEST(ProgressRowsTest, ReadsAndReplacesTheRowOfTheFormerVersion) {
  std::mt19937 Random(1);
  const jobs::JobSpec Spec = specOf({1000});
  jobs::Job Job = jobOf(Spec);
  change(Job, 0, 0, 1000, Random);
  const JobProgress Progress = Job.progress();
  Table Store;
  Store.Rows[Spec.Id] = encode(Progress);
  ProgressRows Rows;
  EXPECT_EQ(Store.read(Rows, Random).at(Spec.Id), Progress);
  Store.write(Rows.update(Spec, Progress));
  EXPECT_FALSE(Store.Rows.contains(Spec.Id));
  ProgressRows Restored;
  EXPECT_EQ(Store.read(Restored, Random).at(Spec.Id).Steps, Progress.Steps);
}

// Guards against small jobs that the former version cannot read.
TEST(ProgressRowsTest, StoresSmallJobsInTheFormerFormat) {
  std::mt19937 Random(1);
  const jobs::JobSpec Spec = specOf({20, 30});
  jobs::Job Job = jobOf(Spec);
  change(Job, 0, 0, 20, Random);
  Table Store;
  ProgressRows Rows;
  Store.write(Rows.update(Spec, Job.progress()));
  ASSERT_EQ(Store.Rows.size(), 1U);
  EXPECT_EQ(decodeProgress(Store.Rows.at(Spec.Id)), Job.progress());
}

// Guards against a checkpoint of any length that stops the shard.
TEST(ProgressRowsTest, LeavesOutACheckpointThatFitsInNoRow) {
  const jobs::JobSpec Spec = specOf({3});
  jobs::Job Job = jobOf(Spec);
  Job.Steps[0].Tasks[1].Checkpoint.assign(70'000, 'x');
  Job.Steps[0].Tasks[2].Checkpoint = "kept";
  Table Store;
  ProgressRows Rows;
  Store.write(Rows.update(Spec, Job.progress()));
  EXPECT_LE(Store.largest(), MaxValueBytes);
  std::mt19937 Random(1);
  ProgressRows Restored;
  const std::map<int, std::string> Kept = {{2, "kept"}};
  EXPECT_EQ(Store.read(Restored, Random).at(Spec.Id).Steps[0].Checkpoints,
            Kept);
}

TEST(ProgressRowsTest, RejectsInvalidRows) {
  ProgressRows Rows;
  std::map<std::string, JobProgress> Into;
  const auto Restore = [&](const std::string &Key, const std::string &Value) {
    return Rows.restore({ProgressTable, Key, Value, 0, false}, Into);
  };
  EXPECT_FALSE(Restore("job", "["));
  EXPECT_FALSE(Restore("job/0", "["));
  EXPECT_FALSE(Restore("job/x", R"({"first_step":0,"steps":[]})"));
  EXPECT_FALSE(Restore("job/0", R"({"first_step":-1,"steps":[{}]})"));
  EXPECT_FALSE(Restore("job/0", R"({"first_step":900000000,"steps":[{}]})"));
  EXPECT_FALSE(
      Restore("job/0",
              R"({"first_step":0,"steps":[{"done_ranges":[[0,900000000]]}]})"));
  EXPECT_FALSE(Restore(
      "job/0", R"({"first_step":0,"steps":[{"done_ranges":[[5,7],[6,9]]}]})"));
  EXPECT_TRUE(Restore(
      "job/0", R"({"first_step":0,"steps":[{"done_ranges":[[5,7],[9,9]]}]})"));
}

} // namespace
} // namespace apricotwing::cell
