#include "platform/nodefile.h"

#include "core/error.h"

#include <gtest/gtest.h>

#include <string>

namespace apricotwing::platform {
namespace {

/// Returns a settings file as the platform writes it, with \p Old replaced by
/// \p New.
std::string makeSettings(const std::string &Old = {},
                         const std::string &New = {}) {
  std::string Text = R"({
    "node_name": "frontend-a-1", "ip": "10.1.0.17", "zone": "a",
    "listen_addresses": {"frontend": "10.1.0.17:8183", "ready": "10.1.0.17:8184"},
    "internal_port_range": [7420, 7435],
    "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 120,
               "file_descriptors": 3075},
    "contracts": ["base", "sched"], "orders": "invocation",
    "heartbeat_interval_ms": 1500,
    "recommendation": "10.200.1.9:8182",
    "bounds": {"grace_period_s": 6, "max_hold_ms": 10000, "status_s": 120},
    "platform": {"address": "10.200.1.7:8182"},
    "some_new_field": {"of": "tomorrow"}
  })";
  if (!Old.empty())
    Text.replace(Text.find(Old), Old.size(), New);
  return Text;
}

/// Returns the error message for a settings file in which \p Old is replaced
/// by \p New.
std::string errorMessageFor(const std::string &Old, const std::string &New) {
  try {
    parseNodeFile(makeSettings(Old, New), "/etc/settings.json");
  } catch (const Error &Problem) {
    EXPECT_EQ(Problem.kind(), ErrorKind::BadSettings);
    EXPECT_FALSE(Problem.remedy().empty());
    return Problem.what();
  }
  return "";
}

TEST(NodeFileTest, ReadsAddressesAndDurationsAndIgnoresNewFields) {
  const NodeFile File = parseNodeFile(makeSettings(), "f");
  EXPECT_EQ(File.Entry.Instance.Name, "frontend-a-1");
  EXPECT_EQ(File.Entry.Instance.Address, "10.1.0.17:7420");
  EXPECT_EQ(File.Entry.ClientAddress, "10.1.0.17:8183");
  EXPECT_EQ(File.Entry.GracePeriod, Duration{6000});
  EXPECT_EQ(File.Entry.Machine.MemoryMib, 120);
  EXPECT_EQ(File.Entry.Machine.FileDescriptors, 3075);
  EXPECT_EQ(File.StoreAddress, "10.200.1.7:8182");
  EXPECT_EQ(File.Times.WorkerLease, Duration{6500});
  EXPECT_EQ(File.Times.StatusRetention, Duration{120'000});
}

// Guards against a process that does not start, and against one that starts
// runs by an old view although operators evacuate zones.
TEST(NodeFileTest, KnowsTheContractOfEvacuations) {
  EXPECT_FALSE(parseNodeFile(makeSettings(), "f").Times.EvacuatesZones);
  EXPECT_TRUE(parseNodeFile(makeSettings("\"sched\"", "\"places\""), "f")
                  .Times.EvacuatesZones);
}

TEST(NodeFileTest, NamesFileFieldAndProblem) {
  EXPECT_EQ(errorMessageFor("\"node_name\": \"frontend-a-1\", ", ""),
            "/etc/settings.json: node_name is missing");
  EXPECT_EQ(errorMessageFor("\"max_hold_ms\": 10000", "\"max_hold_ms\": \"x\""),
            "/etc/settings.json: bounds.max_hold_ms has the wrong type "
            "(string)");
  EXPECT_EQ(errorMessageFor("\"sched\"", "\"teleport\""),
            "/etc/settings.json: contracts contains the unknown part "
            "'teleport'");
  EXPECT_EQ(errorMessageFor("invocation", "heartbeat"),
            "/etc/settings.json: orders has the unsupported value "
            "'heartbeat'");
  EXPECT_NE(errorMessageFor("{", "["), "");
}

} // namespace
} // namespace apricotwing::platform
