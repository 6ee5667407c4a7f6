#include <Tests/LibConfigLog/ConfigSamples.h>
#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

class test_config_fold : public testing::Test
{
protected:
  proposal_outcome const& Land(config_proposal const& aProposal)
  {
    mOffset = mOffset.Next();
    mFold.Apply({ mOffset, aProposal });
    return *mFold.FindOutcome(aProposal.mOrigin.mProposal);
  }

  void ExpectRefused(config_proposal const& aProposal, config_rule aRule)
  {
    config_tables const before = mFold.Tables();
    proposal_outcome const& outcome = Land(aProposal);
    EXPECT_EQ(outcome.mStatus, proposal_status::Refused);
    ASSERT_FALSE(outcome.mFaults.empty());
    EXPECT_EQ(outcome.mFaults.front().mRule, aRule)
      << outcome.mFaults.front().mReason;
    EXPECT_EQ(mFold.Tables().mPools, before.mPools);
    EXPECT_EQ(mFold.Tables().mRoutes, before.mRoutes);
    EXPECT_EQ(mFold.Tables().mKeys, before.mKeys);
    EXPECT_EQ(mFold.Tables().mWorkspaces, before.mWorkspaces);
  }

  config_fold mFold;
  log_offset mOffset;
};

TEST_F(test_config_fold, AcceptsRowsWithTheOffsetAsTheirVersion)
{
  proposal_outcome const& outcome =
    Land(Proposal("a", { Put(PoolRow("p")), Put(RouteRow("r", "p")) }));
  EXPECT_EQ(outcome.mStatus, proposal_status::Accepted);
  EXPECT_EQ(mFold.Tables().mRoutes.at(route_name{ "r" }).mVersion,
            row_version{ 1 });
}

TEST_F(test_config_fold, FirstInLogOrderWinsAndTheConflictNamesBothVersions)
{
  Land(Proposal("a", { Put(PoolRow("p")) }));
  pool_row first = PoolRow("p");
  first.mMaxOutstanding = 7;
  Land(Proposal("b", { Put(first, 1) }));
  proposal_outcome const& late = Land(Proposal("c", { Put(PoolRow("p"), 1) }));
  EXPECT_EQ(late.mStatus, proposal_status::Conflict);
  ASSERT_EQ(late.mConflicts.size(), 1U);
  EXPECT_EQ(late.mConflicts.front().mBase, row_version{ 1 });
  EXPECT_EQ(late.mConflicts.front().mCurrent, row_version{ 2 });
  EXPECT_EQ(mFold.Tables().FindPool(pool_name{ "p" })->mMaxOutstanding, 7U);
}

TEST_F(test_config_fold, DoubleOfAProposalChangesNothing)
{
  config_proposal const create = Proposal("a", { Put(PoolRow("p")) });
  Land(create);
  Land(Proposal("b", { DeletePool("p", 1) }));
  EXPECT_EQ(Land(create).mOffset, log_offset{ 1 });
  EXPECT_EQ(mFold.Tables().FindPool(pool_name{ "p" }), nullptr);
}

TEST_F(test_config_fold, DoubleThatOutlivesItsMemoryIsPastItsLastOffset)
{
  config_proposal const create =
    Proposal("a", { Put(PoolRow("p")) }, 1 + config_fold::kLongestWindow);
  Land(create);
  Land(Proposal("b", { DeletePool("p", 1) }));
  while (mFold.FindOutcome(create.mOrigin.mProposal))
    mFold.Apply({ mOffset = mOffset.Next(), no_operation{} });
  EXPECT_EQ(Land(create).mStatus, proposal_status::Refused);
  EXPECT_EQ(mFold.Tables().FindPool(pool_name{ "p" }), nullptr);
}

TEST_F(test_config_fold, RefusesBeyondTheLastOffset)
{
  Land(Proposal("a", { Put(PoolRow("p")) }));
  ExpectRefused(Proposal("b", { Put(PoolRow("q")) }, 1),
                config_rule::LastOffset);
  ExpectRefused(Proposal("c", { Put(PoolRow("q")) }, 1'000'000),
                config_rule::LastOffset);
}

TEST_F(test_config_fold, ManyRowsChangeTogetherOrNotAtAll)
{
  ExpectRefused(
    Proposal("a", { Put(PoolRow("p")), Put(RouteRow("r", "missing")) }),
    config_rule::MissingPool);
  Land(Proposal("b", { Put(PoolRow("p")) }));
  proposal_outcome const& stale =
    Land(Proposal("c", { Put(PoolRow("q")), Put(PoolRow("p"), 99) }));
  EXPECT_EQ(stale.mStatus, proposal_status::Conflict);
  EXPECT_EQ(mFold.Tables().FindPool(pool_name{ "q" }), nullptr);
}

TEST_F(test_config_fold, RefusesRowsThatNameWhatIsMissing)
{
  ExpectRefused(Proposal("a", { Put(RouteRow("r", "p")) }),
                config_rule::MissingPool);
  ExpectRefused(Proposal("b", { Put(KeyRow("k", "w")) }),
                config_rule::MissingWorkspace);
}

TEST_F(test_config_fold, RefusesToRemoveWhatIsInUse)
{
  Land(Proposal("a",
                { Put(PoolRow("p")),
                  Put(RouteRow("r", "p")),
                  Put(WorkspaceRow("w")),
                  Put(KeyRow("k", "w")) }));
  ExpectRefused(Proposal("b", { DeletePool("p", 1) }), config_rule::PoolInUse);
  workspace_change const remove{ workspace_id{ "w" },
                                 row_version{ 1 },
                                 std::nullopt };
  ExpectRefused(Proposal("c", { remove }), config_rule::WorkspaceInUse);
}

TEST_F(test_config_fold, RefusesRowsOutOfBounds)
{
  workspace_row workspace = WorkspaceRow("w");
  workspace.mRate = 0;
  ExpectRefused(Proposal("a", { Put(workspace) }), config_rule::Bounds);
  workspace.mRate = 1;
  workspace.mBurst = -1;
  ExpectRefused(Proposal("b", { Put(workspace) }), config_rule::Bounds);
  route_row route = RouteRow("r", "p");
  route.mPathPrefix = "chat";
  ExpectRefused(Proposal("c", { Put(PoolRow("p")), Put(route) }),
                config_rule::PathPrefix);
  ExpectRefused(Proposal("d", { Put(PoolRow("a/b")) }), config_rule::RowName);
  ExpectRefused(Proposal("e", {}), config_rule::DistinctChanges);
  ExpectRefused(Proposal("f", { Put(PoolRow("p")), Put(PoolRow("p")) }),
                config_rule::DistinctChanges);
}

TEST_F(test_config_fold, RefusesAmbiguousRoutes)
{
  route_row other = RouteRow("other", "p");
  other.mPathPrefix = "/r";
  ExpectRefused(
    Proposal("a", { Put(PoolRow("p")), Put(RouteRow("r", "p")), Put(other) }),
    config_rule::PathPrefix);
}

TEST_F(test_config_fold, RefusesServersListedTwice)
{
  backend_server const server{ .mId = backend_server_id{ "s" },
                               .mAddress = endpoint::Parse("127.0.0.1:9000"),
                               .mFailureDomain = failure_domain{ "d" } };
  pool_row pool = PoolRow("p");
  pool.mServers = { server, server };
  ExpectRefused(Proposal("a", { Put(pool) }), config_rule::Servers);
  pool.mServers = { server };
  pool_row other = PoolRow("q");
  other.mServers = { server };
  other.mServers.front().mAddress.mPort = 9001;
  ExpectRefused(Proposal("b", { Put(pool), Put(other) }), config_rule::Servers);
}

}
}
