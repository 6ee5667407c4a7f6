#include <LibDispatch/DispatchConfig.h>

#include <gtest/gtest.h>
#include <platform/ConfigDocument.h>

#include <string>

namespace lycheeseam::platform {

namespace {

std::string
HealthPathOf(std::string const& aFields)
{
  return ReadConfigDocument(R"({"version":1,"routes":[],"services":[{"name":)"
                            R"("a")" +
                            aFields + "}]}")
    ->FindPool(pool_name{ "a" })
    ->mHealthPath;
}

TEST(TestHealthPath, IsReadFromTheService)
{
  EXPECT_EQ(HealthPathOf(R"(,"health_path":"/health?brief")"), "/health?brief");
}

TEST(TestHealthPath, IsEmptyWhenTheServiceNamesNone)
{
  EXPECT_EQ(HealthPathOf(""), "");
}

// Guards against a path that adds fields or requests of its own to a probe.
TEST(TestHealthPath, IsEmptyWhenItIsNoPath)
{
  for (char const* const path : { "", "health", "/a b", "/a\\r\\nHost: b" })
    EXPECT_EQ(HealthPathOf(std::string{ R"(,"health_path":")" } + path + "\""),
              "")
      << path;
}

}

}
