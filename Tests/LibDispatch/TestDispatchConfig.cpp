#include <LibDispatch/DispatchConfig.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

dispatch_config
Config()
{
  std::vector<dispatch_route> routes{
    { .mName = route_name{ "short" }, .mHost = "h", .mPathPrefix = "/a/" },
    { .mName = route_name{ "long" }, .mHost = "h", .mPathPrefix = "/a/b/" },
    { .mName = route_name{ "other" }, .mHost = "g", .mPathPrefix = "/" },
  };
  std::vector<dispatch_workspace> workspaces{ { .mName = workspace_id{ "w" },
                                                .mKeys = { "k1", "k2" } } };
  return { 1, std::move(routes), {}, std::move(workspaces), {} };
}

TEST(TestDispatchConfig, FindsRouteWithLongestPrefix)
{
  dispatch_config const config = Config();
  EXPECT_EQ(config.FindRoute("h", "/a/b/c")->mName, route_name{ "long" });
  EXPECT_EQ(config.FindRoute("h", "/a/bc")->mName, route_name{ "short" });
  EXPECT_EQ(config.FindRoute("h", "/a"), nullptr);
  EXPECT_EQ(config.FindRoute("x", "/a/"), nullptr);
}

TEST(TestDispatchConfig, FindsWorkspaceByAnyOfItsKeys)
{
  dispatch_config const config = Config();
  ASSERT_NE(config.FindWorkspace("k2"), nullptr);
  EXPECT_EQ(config.FindWorkspace("k2")->mName, workspace_id{ "w" });
  EXPECT_EQ(config.FindWorkspace("k3"), nullptr);
}

}

}
