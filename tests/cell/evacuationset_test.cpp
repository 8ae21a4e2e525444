#include "cell/evacuationset.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace apricotwing::cell {
namespace {

/// Rows whose key is a zone in upper case letters are evacuations.
class ZoneRecords final : public PlatformRecords {
public:
  std::string policyTable() const override { return "t"; }
  std::optional<jobs::ClusterPolicy>
  decodePolicy(const StoredRow &) const override {
    return std::nullopt;
  }
  std::optional<std::string>
  decodeEvacuation(const StoredRow &Row) const override {
    return Row.Key < "a" ? std::optional(Row.Key) : std::nullopt;
  }
  std::string workerTable() const override { return "w"; }
  std::optional<jobs::WorkerInfo>
  decodeWorker(const StoredRow &) const override {
    return std::nullopt;
  }
};

StoredRow written(const std::string &Zone, std::int64_t Version) {
  return {"t", Zone, "{}", Version, false};
}

StoredRow removed(const std::string &Zone, std::int64_t Version) {
  return {"t", Zone, "", Version, true};
}

class EvacuationSetTest : public testing::Test {
protected:
  using Zones = std::set<std::string>;

  const ZoneRecords Records{};
  EvacuationSet Set{Records};
};

// Guards against an older report that arrives after a newer one, from a watch
// and a read of changes in flight at the same time.
TEST_F(EvacuationSetTest, TheNewestVersionOfARowCounts) {
  Set.replace({}, 5);
  Set.update({removed("A", 8), written("B", 9)});
  Set.update({written("A", 7), removed("B", 6), written("config", 7)});
  EXPECT_EQ(Set.zones(), Zones{"B"});
  Set.update({written("A", 10), removed("B", 11)});
  EXPECT_EQ(Set.zones(), Zones{"A"});
}

// Guards against a zone that stays evacuated because its row vanished with the
// history.
TEST_F(EvacuationSetTest, RowsThatAWholeReadLacksAreRemoved) {
  Set.replace({written("A", 3)}, 5);
  Set.update({written("B", 6)});
  Set.replace({written("B", 6)}, 9);
  EXPECT_EQ(Set.zones(), Zones{"B"});
  Set.update({written("A", 3)}); // A delayed report of before.
  EXPECT_EQ(Set.zones(), Zones{"B"});
}

// Guards against a zone that counts as taken back because a read of the whole
// table began before it was evacuated, and against the reverse.
TEST_F(EvacuationSetTest, ChangesAfterTheBeginOfAWholeReadStay) {
  Set.replace({written("B", 4)}, 5);
  Set.update({written("A", 8), removed("B", 9)});
  Set.replace({written("B", 4)}, 7);
  EXPECT_EQ(Set.zones(), Zones{"A"});
  Set.replace({written("A", 8)}, 10);
  Set.replace({written("A", 8), written("B", 4)}, 8); // Began before the last.
  EXPECT_EQ(Set.zones(), Zones{"A"});
}

} // namespace
} // namespace apricotwing::cell
