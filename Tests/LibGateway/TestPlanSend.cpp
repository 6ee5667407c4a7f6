#include <LibGateway/PlanSend.h>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow{ seconds{ 100 } };
model_name const kModel{ "m" };
endpoint const kStore{ .mAddress = "10.0.9.1", .mPort = 8603 };

endpoint
ServerAddress(int aIndex)
{
  return { .mAddress = "10.0.0." + std::to_string(aIndex), .mPort = 80 };
}

backend_server_id
ServerId(int aIndex)
{
  return backend_server_id{ "s" + std::to_string(aIndex) };
}

/// A pool of three engines with a store of KV cache.
class TestPlanSend : public testing::Test
{
protected:
  TestPlanSend()
  {
    std::shared_ptr<fleet_view> view = std::make_shared<fleet_view>();
    view->mConfig = std::make_shared<dispatch_config const>(
      1,
      std::vector<dispatch_route>{},
      std::vector<dispatch_pool>{
        { .mName = pool_name{ "p" } },
        { .mName = pool_name{ "store" }, .mCacheStore = kStore } },
      std::vector<dispatch_workspace>{},
      caller_limits{});
    mFirstView = view;
    for (int index = 0; index < 3; ++index)
      view->mServers.push_back(
        { .mId = ServerId(index),
          .mPool = pool_name{ "p" },
          .mAddress = ServerAddress(index),
          .mModels = { { .mModel = kModel, .mVersion = 1 } } });
    mView.Publish(view);
    mCore.View(kNow);
  }

  static request_properties Properties(std::string const& aSecondPart)
  {
    return { .mId = request_id{ "r" },
             .mModel = kModel,
             .mPromptTokens = 9'200,
             .mParts = {
               { "a", 2'500 }, { aSecondPart, 3'800 }, { "own", 2'900 } } };
  }

  send_parameters Plan(int aServer,
                       request_properties const& aProperties,
                       instant aNow = kNow)
  {
    std::shared_ptr<tracked_server> const server =
      mCore.Servers().Find(ServerId(aServer));
    return PlanSend(mCore,
                    { .mNow = aNow, .mModel = kModel },
                    *server,
                    { .mRoute = &mRoute, .mDeadline = aNow + seconds{ 5 } },
                    aProperties,
                    std::nullopt);
  }

  // A server has read a prompt.
  void Read(int aServer, request_properties const& aProperties)
  {
    for (prefix_holder const& held :
         MakePrefixHolders(Plan(aServer, aProperties)))
      mCore.OnPrefixRead(kNow, held);
  }

  // A configuration with these workspaces comes into force.
  void Configure(std::vector<dispatch_workspace> aWorkspaces)
  {
    std::shared_ptr<fleet_view> view =
      std::make_shared<fleet_view>(*mFirstView);
    view->mConfig =
      std::make_shared<dispatch_config const>(2,
                                              std::vector<dispatch_route>{},
                                              std::vector<dispatch_pool>{},
                                              std::move(aWorkspaces),
                                              caller_limits{});
    mView.Publish(view);
    mCore.View(kNow);
  }

  // The cache scope of a request that aWorkspace's row admitted.
  std::string Scope(dispatch_workspace const& aWorkspace)
  {
    std::shared_ptr<tracked_server> const server =
      mCore.Servers().Find(ServerId(0));
    return PlanSend(mCore,
                    { .mNow = kNow, .mModel = kModel },
                    *server,
                    { .mRoute = &mRoute, .mWorkspace = &aWorkspace },
                    Properties("b"),
                    std::nullopt)
      .mCacheScope;
  }

  std::shared_ptr<fleet_view const> mFirstView;
  gateway_options mOptions;
  dispatch_route mRoute;
  published<fleet_view> mView{ std::make_shared<fleet_view const>() };
  traffic_core mCore{ mOptions, mView };
};

TEST_F(TestPlanSend, FetchesFromTheHolderOfTheWholePrefix)
{
  Read(0, Properties("b"));
  EXPECT_EQ(Plan(1, Properties("b")).mFetchFrom, ServerAddress(0));
}

// Guards against a first part that each engine reads again under each new
// version of the weights: requests share it, but an index of whole prefixes
// finds it only behind the same second part.
TEST_F(TestPlanSend, FetchesFromTheHolderOfAShorterPrefix)
{
  Read(0, Properties("b"));
  EXPECT_EQ(Plan(1, Properties("c")).mFetchFrom, ServerAddress(0));
}

TEST_F(TestPlanSend, FetchesFromTheStoreWhenNoHolderIsKnown)
{
  EXPECT_EQ(Plan(1, Properties("b")).mFetchFrom, kStore);
  Read(0, Properties("b"));
  EXPECT_EQ(Plan(1, Properties("b"), kNow + seconds{ 15 }).mFetchFrom, kStore);
}

TEST_F(TestPlanSend, DoesNotFetchFromAHolderThatFails)
{
  Read(0, Properties("b"));
  mCore.Servers().Find(ServerId(0))->mBreaker.OnUnreachable(kNow);
  EXPECT_EQ(Plan(1, Properties("b")).mFetchFrom, kStore);
}

// Guards against bytes between failure domains: a holder in the server's own
// domain is as good as the latest one.
TEST_F(TestPlanSend, AdaptivePoolsFetchFromAHolderInTheirOwnDomain)
{
  mCore.Servers().Find(ServerId(1))->mRegistered.mDomain =
    failure_domain{ "a" };
  mCore.Servers().Find(ServerId(2))->mRegistered.mDomain =
    failure_domain{ "a" };
  Read(2, Properties("b"));
  Read(0, Properties("b"));
  EXPECT_EQ(Plan(1, Properties("b")).mFetchFrom, ServerAddress(0));
  mCore.Servers().Find(ServerId(0))->mLoad =
    reported_load{ .mSlowdown = 1, .mReportedAt = kNow };
  EXPECT_EQ(Plan(1, Properties("b")).mFetchFrom, ServerAddress(2));
}

dispatch_workspace const kShop{ .mName = workspace_id{ "shop" } };
dispatch_workspace const kBank{ .mName = workspace_id{ "bank" } };
dispatch_workspace const kIsolatedShop{ .mName = workspace_id{ "shop" },
                                        .mIsIsolated = true };
dispatch_workspace const kIsolatedBank{ .mName = workspace_id{ "bank" },
                                        .mIsIsolated = true };

// Guards against parts that a workspace cached before it was isolated, and that
// others go on to use.
TEST_F(TestPlanSend, PartsOfAWorkspaceAreNotSharedAfterItIsIsolated)
{
  Configure({ kShop, kBank });
  std::string const before = Scope(kShop);
  EXPECT_EQ(Scope(kBank), before);
  Configure({ kIsolatedShop, kBank });
  EXPECT_NE(Scope(kBank), before);
  EXPECT_NE(Scope(kIsolatedShop), before);
  EXPECT_NE(Scope(kIsolatedShop), Scope(kBank));
}

// The same for a request that an older configuration admitted and that is sent
// again later.
TEST_F(TestPlanSend, ScopeFollowsTheNewestConfiguration)
{
  Configure({ kIsolatedShop, kBank });
  EXPECT_EQ(Scope(kShop), Scope(kIsolatedShop));
  // A workspace that was removed may have been isolated.
  Configure({ kBank });
  EXPECT_NE(Scope(kShop), Scope(kBank));
}

TEST_F(TestPlanSend, ScopesOfAllSetsOfIsolatedWorkspacesDiffer)
{
  std::set<std::string> shared;
  dispatch_workspace const other{ .mName = workspace_id{ "other" } };
  for (auto const& shop : { kShop, kIsolatedShop }) {
    for (auto const& bank : { kBank, kIsolatedBank }) {
      Configure({ shop, bank, other });
      shared.insert(Scope(other));
    }
  }
  EXPECT_EQ(shared.size(), 4U);
  Configure({ other, kIsolatedBank, kIsolatedShop });
  EXPECT_TRUE(shared.contains(Scope(other)));
}

TEST_F(TestPlanSend, HolderOfAPartInUseIsReportedOnce)
{
  Read(0, Properties("b"));
  Read(1, Properties("b"));
  // Two prefixes, of which only the first send was saved to the store.
  EXPECT_EQ(mCore.TakeReport(kNow).mHolders.size(), 2U);
}

}
}
