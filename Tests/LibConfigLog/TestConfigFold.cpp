#include <Tests/LibConfigLog/ConfigSamples.h>
#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

class test_config_fold : public testing::Test
{
protected:
  proposal_outcome const& ApplyNext(config_proposal const& aProposal)
  {
    mOffset = mOffset.Next();
    mFold.Apply({ mOffset, aProposal });
    return *mFold.FindOutcome(aProposal.mOrigin.mProposal);
  }

  void ApplyNoOperations(std::uint64_t aOffsets)
  {
    for (std::uint64_t i = 0; i < aOffsets; ++i)
      mFold.Apply({ mOffset = mOffset.Next(), no_operation{} });
  }

  void ExpectRefused(config_proposal const& aProposal, config_rule aRule)
  {
    config_tables const before = mFold.Tables();
    proposal_outcome const& outcome = ApplyNext(aProposal);
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

TEST_F(test_config_fold, AcceptedRowsHaveTheOffsetAsTheirVersion)
{
  proposal_outcome const& outcome =
    ApplyNext(Proposal("a", { Put(PoolRow("p")), Put(RouteRow("r", "p")) }));
  EXPECT_EQ(outcome.mStatus, proposal_status::Accepted);
  EXPECT_EQ(mFold.Tables().mRoutes.at(route_name{ "r" }).mVersion,
            row_version{ 1 });
}

TEST_F(test_config_fold,
       SecondChangeFromSameVersionConflictsAndNamesBothVersions)
{
  ApplyNext(Proposal("a", { Put(PoolRow("p")) }));
  pool_row first = PoolRow("p");
  first.mMaxOutstanding = 7;
  ApplyNext(Proposal("b", { Put(first, 1) }));
  proposal_outcome const& late =
    ApplyNext(Proposal("c", { Put(PoolRow("p"), 1) }));
  EXPECT_EQ(late.mStatus, proposal_status::Conflict);
  ASSERT_EQ(late.mConflicts.size(), 1U);
  EXPECT_EQ(late.mConflicts.front().mBase, row_version{ 1 });
  EXPECT_EQ(late.mConflicts.front().mCurrent, row_version{ 2 });
  EXPECT_EQ(mFold.Tables().FindPool(pool_name{ "p" })->mMaxOutstanding, 7U);
}

TEST_F(test_config_fold, DuplicateOfProposalChangesNothing)
{
  config_proposal const create = Proposal("a", { Put(PoolRow("p")) });
  ApplyNext(create);
  ApplyNext(Proposal("b", { DeletePool("p", 1) }));
  EXPECT_EQ(ApplyNext(create).mOffset, log_offset{ 1 });
  EXPECT_EQ(mFold.Tables().FindPool(pool_name{ "p" }), nullptr);
}

TEST_F(test_config_fold,
       DuplicateOfDiscardedProposalChangesNothingAndHasNoOutcome)
{
  config_proposal const create = Proposal("a", { Put(PoolRow("p")) }, 1000);
  ApplyNext(create);
  ApplyNext(Proposal("b", { DeletePool("p", 1) }));
  while (mFold.FindOutcome(create.mOrigin.mProposal))
    ApplyNoOperations(create.mOrigin.mLastOffset.Value());
  ApplyNoOperations(1);
  mFold.Apply({ mOffset = mOffset.Next(), create });
  // The author has read that the proposal was accepted; a second outcome would
  // contradict that.
  EXPECT_EQ(mFold.FindOutcome(create.mOrigin.mProposal), nullptr);
  EXPECT_EQ(mFold.Tables().FindPool(pool_name{ "p" }), nullptr);
}

TEST_F(test_config_fold, ProposalPastItsLastOffsetIsIgnored)
{
  ApplyNext(Proposal("a", { Put(PoolRow("p")) }));
  config_proposal const late = Proposal("b", { Put(PoolRow("q")) }, 1);
  mFold.Apply({ mOffset = mOffset.Next(), late });
  EXPECT_EQ(mFold.FindOutcome(late.mOrigin.mProposal), nullptr);
  EXPECT_EQ(mFold.Tables().FindPool(pool_name{ "q" }), nullptr);
}

TEST_F(test_config_fold, ProposalWithLastOffsetTooFarAheadStaysRefused)
{
  std::uint64_t const last = 2 * config_fold::kMaxLastOffsetLead + 100;
  config_proposal const far = Proposal("a", { Put(PoolRow("p")) }, last);
  ExpectRefused(far, config_rule::LastOffset);
  // At this offset, the last offset is no longer too far ahead.
  ApplyNoOperations(config_fold::kMaxLastOffsetLead + 200);
  EXPECT_EQ(ApplyNext(far).mStatus, proposal_status::Refused);
  EXPECT_EQ(mFold.Tables().FindPool(pool_name{ "p" }), nullptr);
}

TEST_F(test_config_fold, FaultOrConflictInOneRowKeepsAllRowsUnchanged)
{
  ExpectRefused(
    Proposal("a", { Put(PoolRow("p")), Put(RouteRow("r", "missing")) }),
    config_rule::MissingPool);
  ApplyNext(Proposal("b", { Put(PoolRow("p")) }));
  proposal_outcome const& stale =
    ApplyNext(Proposal("c", { Put(PoolRow("q")), Put(PoolRow("p"), 99) }));
  EXPECT_EQ(stale.mStatus, proposal_status::Conflict);
  EXPECT_EQ(mFold.Tables().FindPool(pool_name{ "q" }), nullptr);
}

TEST_F(test_config_fold, RefusesReferencesToMissingRows)
{
  ExpectRefused(Proposal("a", { Put(RouteRow("r", "p")) }),
                config_rule::MissingPool);
  ExpectRefused(Proposal("b", { Put(KeyRow("k", "w")) }),
                config_rule::MissingWorkspace);
}

TEST_F(test_config_fold, RefusesToRemoveRowsInUse)
{
  ApplyNext(Proposal("a",
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

TEST_F(test_config_fold, RefusesRowsOutOfBoundsAndDuplicateChanges)
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

TEST_F(test_config_fold, RefusesRoutesWithTheSamePathPrefixAndModel)
{
  route_row other = RouteRow("other", "p");
  other.mPathPrefix = "/r";
  ExpectRefused(
    Proposal("a", { Put(PoolRow("p")), Put(RouteRow("r", "p")), Put(other) }),
    config_rule::PathPrefix);
}

TEST_F(test_config_fold, RefusesServersListedTwiceOrWithTwoAddresses)
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
