#include <Tests/Support/MutateBytes.h>
#include <gtest/gtest.h>
#include <platform/RequestDialect.h>
#include <rapidcheck.h>

#include <cmath>
#include <optional>
#include <random>
#include <string>

namespace lycheeseam::platform {

namespace {

std::optional<reported_load>
Read(std::string const& aValue)
{
  return request_dialect::ReadAnswer(
           { .mStatus = 200, .mFields = { { "Server-Load", aValue } } })
    .mLoad;
}

// Guards against reports of three figures that are read differently since there
// may be a fourth one.
TEST(TestReportedLoad, ThreeFiguresNameNoSlowdown)
{
  std::optional<reported_load> const load = Read("3,1,8");
  ASSERT_TRUE(load);
  EXPECT_EQ(load->mRunning, 3U);
  EXPECT_EQ(load->mWaiting, 1U);
  EXPECT_EQ(load->mSlots, 8U);
  EXPECT_EQ(load->mSlowdown, std::nullopt);
}

// Guards against ignoring whole reports for a figure that was added to them.
TEST(TestReportedLoad, TheFourthFigureIsTheSlowdown)
{
  for (char const* const text :
       { "3,1,8,250", "3,1,8,250,7", "3,1,8,250,", "3,1,8,250,x,,9" }) {
    std::optional<reported_load> const load = Read(text);
    ASSERT_TRUE(load) << text;
    EXPECT_EQ(load->mWaiting, 1U) << text;
    EXPECT_EQ(load->mSlots, 8U) << text;
    EXPECT_EQ(load->mSlowdown, 2.5) << text;
  }
}

// Guards against a slowdown that would divide work by zero or by nonsense.
TEST(TestReportedLoad, AMalformedSlowdownIsLeftOut)
{
  for (char const* const text : { "3,1,8,",
                                  "3,1,8,0",
                                  "3,1,8,-50",
                                  "3,1,8,x",
                                  "3,1,8,nan",
                                  "3,1,8,inf",
                                  "3,1,8,1e300",
                                  "3,1,8, 100",
                                  "3,1,8,,100" }) {
    std::optional<reported_load> const load = Read(text);
    ASSERT_TRUE(load) << text;
    EXPECT_EQ(load->mRunning, 3U) << text;
    EXPECT_EQ(load->mSlowdown, std::nullopt) << text;
  }
}

TEST(TestReportedLoad, MalformedCountsAreIgnored)
{
  for (char const* const text : { "",
                                  "3",
                                  "3,1",
                                  "3,1,",
                                  ",1,8",
                                  "3,,8,100",
                                  "3,1,x,100",
                                  "-3,1,8",
                                  "3,1.5,8",
                                  "4294967296,1,8" })
    EXPECT_FALSE(Read(text)) << text;
}

TEST(TestReportedLoad, AnyCountsAreReadAsWritten)
{
  EXPECT_TRUE(rc::check([](std::uint32_t aRunning,
                           std::uint32_t aWaiting,
                           std::uint32_t aSlots,
                           std::string const& aMore) {
    std::optional<reported_load> const load =
      Read(std::to_string(aRunning) + "," + std::to_string(aWaiting) + "," +
           std::to_string(aSlots) + ",100," + aMore);
    RC_ASSERT(load.has_value());
    RC_ASSERT(load->mRunning == aRunning);
    RC_ASSERT(load->mWaiting == aWaiting);
    RC_ASSERT(load->mSlots == aSlots);
    RC_ASSERT(load->mSlowdown == 1.0);
  }));
}

// Guards against a slowdown that isn't a positive number, whatever the bytes.
TEST(TestReportedLoad, MutatedReportsGiveUsableSlowdowns)
{
  std::minstd_rand random{ 20261207 };
  for (int input = 0; input < 20'000; ++input) {
    std::string const text = MutateBytes("12,3,24,140", random);
    std::optional<reported_load> const load = Read(text);
    if (!load || !load->mSlowdown)
      continue;
    EXPECT_TRUE(std::isfinite(*load->mSlowdown) && *load->mSlowdown > 0)
      << text;
  }
}

}

}
