#include <LibConfigLog/ConfigDiff.h>

#include <Tests/LibConfigLog/ConfigSamples.h>
#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

TEST(TestConfigDiff, WritesChangedRowsAndDeletesMissingRows)
{
  config_fold fold;
  fold.Apply({ log_offset{ 1 },
               Proposal("a",
                        { Put(PoolRow("same")),
                          Put(PoolRow("gone")),
                          Put(WorkspaceRow("kept")) }) });
  config_file const wanted{ .mPools = { { PoolRow("same"), PoolRow("new") } } };
  std::vector<any_row_change> const expected{ Put(PoolRow("new")),
                                              DeletePool("gone", 1) };
  EXPECT_TRUE(DiffTables(fold.Tables(), wanted) == expected);
}

TEST(TestConfigDiff, AcceptedDiffLeavesNoDifference)
{
  config_fold fold;
  config_file const wanted{ .mRoutes = { { RouteRow("r", "p") } },
                            .mPools = { { PoolRow("p") } },
                            .mKeys = { { KeyRow("k", "w") } },
                            .mWorkspaces = { { WorkspaceRow("w") } } };
  fold.Apply(
    { log_offset{ 1 }, Proposal("a", DiffTables(fold.Tables(), wanted)) });
  EXPECT_TRUE(DiffTables(fold.Tables(), wanted).empty());
}

}
}
