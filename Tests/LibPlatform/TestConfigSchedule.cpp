#include <Tests/LibPlatform/ConfigSchedule.h>
#include <gtest/gtest.h>

#include <cstdlib>

namespace lycheeseam {
namespace {

constexpr std::uint64_t kSchedules = 300;

std::size_t
RunSchedule(std::uint64_t aSeed)
{
  SCOPED_TRACE("seed " + std::to_string(aSeed) +
               "; LYCHEESEAM_SEED runs it alone");
  config_schedule schedule{ aSeed };
  schedule.Run();
  schedule.CheckEnd();
  return schedule.Jumps();
}

TEST(TestConfigSchedule, InstancesAgreeAndNothingAcceptedReverts)
{
  if (char const* const seed = std::getenv("LYCHEESEAM_SEED")) {
    RunSchedule(std::strtoull(seed, nullptr, 10));
    return;
  }
  std::size_t jumps = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules && !HasFailure(); ++seed)
    jumps += RunSchedule(seed);
  // The schedules are worth little when no instance falls behind.
  EXPECT_GT(jumps, kSchedules);
}

}
}
