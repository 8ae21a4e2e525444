/// \file
/// Whether each waiting step that could start does start, whatever waits before
/// it. Plays fixed seeds, or those of RC_PARAMS.
#include "jobs/jobschedulertest.h"
#include "support/fixedseeds.h"

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::jobs {
namespace {

/// Workers and a random mix of gangs and tasks of several accounts, two of
/// which have limits. Knows what each step needs, independently of the
/// scheduler.
class MixedLoad : public JobSchedulerTest {
public:
  explicit MixedLoad(std::uint64_t Seed) : Random(Seed) {
    for (int Number = 0; Number < 8; ++Number) {
      WorkerInfo Info =
          Scheduler.worker(addWorker("w" + std::to_string(Number)).Id)->info();
      Info.Labels = {Number < 2 ? "large" : "plain"};
      Scheduler.updateWorker(Info, Now);
    }
  }

  /// Plays the arrival of \p Count jobs and random ends of runs, then rounds in
  /// which nothing happens. Returns the first step that did not start in time.
  std::string play(int Count) {
    std::string Late;
    for (int Number = 0; Number < Count && Late.empty(); ++Number) {
      if (happens(0.9))
        submit();
      if (happens(0.3))
        endAnyRun();
      if (happens(0.3))
        Late = round();
    }
    for (int Round = 0; Round < 3 * MaxStartRounds && Late.empty(); ++Round)
      Late = round();
    return Late;
  }

private:
  void TestBody() override {}

  int between(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  }
  bool happens(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }

  void submit() {
    StepSpec Step = step(between(1, 6), std::int64_t(1000) * between(1, 16));
    Step.Gang = happens(0.7);
    if (happens(0.3))
      Step.RequiredLabel = happens(0.5) ? "large" : "none";
    const std::string Account = happens(0.5) ? "small" : "large";
    const std::string Id = addJob("batch", Step, Account);
    Jobs[Id] = {Step, Account, Step.Count, 0};
  }

  void endAnyRun() {
    if (Runs.empty())
      return;
    const StartCommand Any =
        Runs[std::size_t(between(0, int(Runs.size()) - 1))];
    const Job &Owner = Jobs.at(jobOf(Any));
    // The members of a gang end together.
    std::erase_if(Runs, [&](const StartCommand &Run) {
      if (Owner.Step.Gang ? jobOf(Run) != jobOf(Any) : Run.Task != Any.Task)
        return false;
      UsedCpuMillis[Owner.Account] -= Owner.Step.Request.CpuMillis;
      end(Run, EndKind::Done);
      return true;
    });
  }

  static std::string jobOf(const StartCommand &Run) {
    return TaskId::parse(Run.Task)->Job;
  }

  std::string describe(const std::string &Id) const {
    const Job &Owner = Jobs.at(Id);
    std::string Result = Id + ": " + std::to_string(Owner.Step.Count) +
                         (Owner.Step.Gang ? " at once of " : " tasks of ") +
                         std::to_string(Owner.Step.Request.CpuMillis) +
                         " mcores, account " + Owner.Account;
    for (const WaitingStep &Step :
         Scheduler.longestWaiting(Now, Duration{0}, Jobs.size()))
      if (Step.Name == stepName(Id, 0))
        Result.append(", ").append(enumName(WaitCauseNames, Step.Cause));
    return Result;
  }

  std::string round() {
    for (const StartCommand &Start : decide().Starts) {
      Job &Owner = Jobs.at(jobOf(Start));
      --Owner.Waiting;
      UsedCpuMillis[Owner.Account] += Owner.Step.Request.CpuMillis;
      Runs.push_back(Start);
    }
    for (auto &[Id, Owner] : Jobs) {
      Owner.StartableRounds =
          canStart(Id, Owner) ? Owner.StartableRounds + 1 : 0;
      if (Owner.StartableRounds > MaxStartRounds)
        return describe(Id);
    }
    return {};
  }

  struct Job {
    StepSpec Step;
    std::string Account;
    int Waiting = 0;
    int StartableRounds = 0;
  };

  bool canStart(const std::string &Id, const Job &Owner) const {
    const int Needed = Owner.Step.Gang ? Owner.Step.Count : 1;
    if (Owner.Waiting < Needed)
      return false;
    const auto Used = UsedCpuMillis.find(Owner.Account);
    const std::int64_t Taken =
        (Used == UsedCpuMillis.end() ? 0 : Used->second) +
        Needed * Owner.Step.Request.CpuMillis;
    if (Owner.Account == "small" && Taken > 8000)
      return false;
    int Slots = 0;
    for (const auto &[Name, Host] : Scheduler.workers())
      if (Host.satisfies(Owner.Step))
        Slots += int(freeCpuMillis(Host, stepName(Id, 0)) /
                     Owner.Step.Request.CpuMillis);
    return Slots >= Needed;
  }

  // Without what other gangs have claimed.
  static std::int64_t freeCpuMillis(const Worker &Host,
                                    const std::string &Name) {
    std::int64_t Free = Host.freeResources().CpuMillis;
    for (const auto &[Claimant, Amount] : Host.claims())
      Free -= Claimant == Name ? 0 : Amount.CpuMillis;
    return std::max<std::int64_t>(Free, 0);
  }

  std::mt19937_64 Random;
  std::map<std::string, Job> Jobs;
  std::vector<StartCommand> Runs;
  std::map<std::string, std::int64_t> UsedCpuMillis; ///< By account.
};

// Guards against steps that no round reaches behind others that cannot start.
TEST(RoundFairnessTest, EachStepThatCouldStartDoesSoInTime) {
  checkWithFixedSeeds(
      [] {
        const auto Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const int Jobs = *rc::gen::inRange(1, 320);
        const std::string Late = MixedLoad(Seed).play(Jobs);
        RC_ASSERT(Late == "");
      },
      25);
}

} // namespace
} // namespace apricotwing::jobs
