#include "entry/controlloop.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <vector>

namespace apricotwing::entry {
namespace {

// Guards against a process that ends because one message was handled with an
// unexpected error.
TEST(ControlLoopTest, GoesOnAfterAnException) {
  ControlLoop Control;
  std::vector<std::string> Problems;
  Control.setErrorHandler(
      [&](const std::string &Problem) { Problems.push_back(Problem); });
  int Done = 0;
  Control.post([] { throw std::runtime_error("unexpected"); });
  Control.post([&] { ++Done; });
  Control.post([&] { Control.stop(); });
  int Pumps = 0;
  Control.run(
      [&] {
        if (++Pumps == 1)
          throw std::out_of_range("pump");
      },
      Duration{5});
  EXPECT_EQ(Done, 1);
  ASSERT_GE(Problems.size(), 1U);
  EXPECT_EQ(Problems.front(), "unexpected");
}

} // namespace
} // namespace apricotwing::entry
