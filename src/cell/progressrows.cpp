#include "cell/progressrows.h"

#include "cell/codec.h"
#include "cell/journal.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <numeric>
#include <optional>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Limits of a part, which is halved until it has no more bytes or one task.
constexpr int TasksPerRow = 256;
constexpr std::size_t MaxPartBytes = 16'000;

constexpr char Separator = '/';

/// Copies the entries with the keys \p From to \p To - 1.
template <typename Value>
std::map<int, Value> slice(const std::map<int, Value> &Entries, int From,
                           int To) {
  return {Entries.lower_bound(From), Entries.lower_bound(To)};
}

/// The progress of the tasks \p From to \p To - 1 of a step.
jobs::StepProgress slice(const jobs::StepProgress &Step, int From, int To) {
  jobs::StepProgress Result;
  Result.Done.assign(std::lower_bound(Step.Done.begin(), Step.Done.end(), From),
                     std::lower_bound(Step.Done.begin(), Step.Done.end(), To));
  Result.Placed = slice(Step.Placed, From, To);
  Result.Failures = slice(Step.Failures, From, To);
  Result.Checkpoints = slice(Step.Checkpoints, From, To);
  Result.Crashes = slice(Step.Crashes, From, To);
  if (From == 0) {
    Result.Begun = Step.Begun;
    Result.GangFailures = Step.GangFailures;
    Result.LastFailedRun = Step.LastFailedRun;
  }
  return Result;
}

/// The progress of the tasks \p From to \p To - 1, numbered over all steps.
ProgressPart partOf(const jobs::JobSpec &Spec,
                    const jobs::JobProgress &Progress, int From, int To) {
  ProgressPart Result;
  int First = 0; // Number of the first task of the step.
  for (std::size_t Step = 0; Step < Progress.Steps.size() && First < To;
       ++Step) {
    const int Count = Spec.Steps[Step].Count;
    const int Low = std::max(From - First, 0);
    const int High = std::min(To - First, Count);
    First += Count;
    if (Low >= High)
      continue;
    if (Result.Steps.empty())
      Result.FirstStep = int(Step);
    Result.Steps.push_back(slice(Progress.Steps[Step], Low, High));
  }
  return Result;
}

bool isEmpty(const ProgressPart &Part) {
  return std::all_of(
      Part.Steps.begin(), Part.Steps.end(),
      [](const auto &Step) { return Step == jobs::StepProgress{}; });
}

// Rows overlap if only a part of an update was stored.
void merge(jobs::StepProgress &Into, const jobs::StepProgress &From) {
  std::vector<int> Done;
  std::set_union(Into.Done.begin(), Into.Done.end(), From.Done.begin(),
                 From.Done.end(), std::back_inserter(Done));
  Into.Done = std::move(Done);
  for (const auto &[Index, Run] : From.Placed) {
    jobs::PlacedRun &Known = Into.Placed[Index];
    const bool WasConfirmed = Known.Run == Run.Run && Known.Confirmed;
    if (Known.Run <= Run.Run)
      Known = Run;
    Known.Confirmed = Known.Confirmed || WasConfirmed;
  }
  for (const auto &[Index, Count] : From.Failures)
    Into.Failures[Index] = std::max(Into.Failures[Index], Count);
  Into.Checkpoints.insert(From.Checkpoints.begin(), From.Checkpoints.end());
  Into.Crashes.insert(From.Crashes.begin(), From.Crashes.end());
  Into.Begun = Into.Begun || From.Begun;
  Into.GangFailures = std::max(Into.GangFailures, From.GangFailures);
  Into.LastFailedRun = std::max(Into.LastFailedRun, From.LastFailedRun);
}

void merge(jobs::JobProgress &Into, const ProgressPart &From) {
  const std::size_t First = std::size_t(From.FirstStep);
  if (Into.Steps.size() < First + From.Steps.size())
    Into.Steps.resize(First + From.Steps.size());
  for (std::size_t Step = 0; Step < From.Steps.size(); ++Step)
    merge(Into.Steps[First + Step], From.Steps[Step]);
}

std::optional<int> parseNumber(const std::string &Text) {
  int Value = 0;
  const char *const End = Text.data() + Text.size();
  const auto [Last, Problem] = std::from_chars(Text.data(), End, Value);
  if (Problem != std::errc() || Last != End || Value < 0)
    return std::nullopt;
  return Value;
}

} // namespace

std::string ProgressRows::rowKey(const std::string &Id, int First) {
  return First == WholeJob ? Id : Id + Separator + std::to_string(First);
}

bool ProgressRows::restore(const StoredRow &Row,
                           std::map<std::string, jobs::JobProgress> &Into) {
  const std::size_t End = Row.Key.rfind(Separator);
  if (End == std::string::npos) {
    Stored[Row.Key][WholeJob] = Row.Value;
    const auto Whole = decodeProgress(Row.Value);
    if (!Whole)
      return false;
    jobs::JobProgress &Restored = Into[Row.Key];
    Restored.Phase = Whole->Phase;
    Restored.Queue = Whole->Queue;
    merge(Restored, {0, Whole->Steps});
    return true;
  }
  const auto First = parseNumber(Row.Key.substr(End + 1));
  if (!First)
    return false;
  const std::string Id = Row.Key.substr(0, End);
  Stored[Id][*First] = Row.Value;
  const auto Part = decodeProgressPart(Row.Value);
  if (Part)
    merge(Into[Id], *Part);
  return bool(Part);
}

ProgressRows::Values ProgressRows::divide(const jobs::JobSpec &Spec,
                                          const jobs::JobProgress &Progress) {
  Values Result;
  const int Tasks = std::accumulate(
      Spec.Steps.begin(), Spec.Steps.end(), 0,
      [](int Sum, const auto &Step) { return Sum + Step.Count; });
  // Instances of the former version can read this row, too.
  if (Tasks <= TasksPerRow) {
    std::string Whole = encode(Progress);
    if (Whole.size() <= MaxValueBytes) {
      Result.emplace(WholeJob, std::move(Whole));
      return Result;
    }
  }
  std::vector<std::pair<int, int>> Open; // First task, and the one after.
  for (int First = 0; First < Tasks; First += TasksPerRow)
    Open.emplace_back(First, std::min(First + TasksPerRow, Tasks));
  while (!Open.empty()) {
    const auto [From, To] = Open.back();
    Open.pop_back();
    ProgressPart Part = partOf(Spec, Progress, From, To);
    if (isEmpty(Part))
      continue;
    std::string Value = encode(Part);
    if (To - From > 1 && Value.size() > MaxPartBytes) {
      const int Middle = From + (To - From) / 2;
      Open.emplace_back(From, Middle);
      Open.emplace_back(Middle, To);
      continue;
    }
    if (Value.size() > MaxValueBytes) {
      // The task starts from its beginning after a change of the leader.
      Part.Steps.front().Checkpoints.clear();
      Value = encode(Part);
    }
    Result.emplace(From, std::move(Value));
  }
  return Result;
}

std::vector<RowChange> ProgressRows::update(const jobs::JobSpec &Spec,
                                            const jobs::JobProgress &Progress) {
  Values &Present = Stored[Spec.Id];
  Values Next = divide(Spec, Progress);
  std::vector<RowChange> Changes;
  // A row that replaces others is written before they are removed, and those
  // that replace a larger one before it shrinks.
  for (auto Row = Next.rbegin(); Row != Next.rend(); ++Row) {
    const auto &[First, Value] = *Row;
    const auto Found = Present.find(First);
    if (Found == Present.end() || Found->second != Value)
      Changes.push_back({ProgressTable, rowKey(Spec.Id, First), Value});
  }
  for (const auto &[First, Value] : Present)
    if (!Next.contains(First))
      Changes.push_back({ProgressTable, rowKey(Spec.Id, First), std::nullopt});
  Present = std::move(Next);
  return Changes;
}

std::vector<RowChange> ProgressRows::remove(const std::string &Id) {
  std::vector<RowChange> Changes;
  const auto Rows = Stored.extract(Id);
  if (Rows.empty())
    return Changes;
  for (const auto &[First, Value] : Rows.mapped())
    Changes.push_back({ProgressTable, rowKey(Id, First), std::nullopt});
  return Changes;
}

} // namespace apricotwing::cell
