#include "HealthyView.h"
#include "RecordingPorts.h"
#include <LibControl/RequestDirector.h>
#include <LibPlacement/RoundRobinPolicy.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

constexpr call_number kCall{ 7 };

class TestRequestDirector : public testing::Test
{
protected:
  TestRequestDirector()
    : mTables(std::make_shared<config_tables>())
  {
    mTables->mPools[pool_name{ "desk" }].mRow = pool_row{
      .mName = pool_name{ "desk" },
      .mServers = { backend_server{ .mId = backend_server_id{ "a" },
                                    .mAddress = { "127.0.0.1", 1001 } },
                    backend_server{ .mId = backend_server_id{ "b" },
                                    .mAddress = { "127.0.0.1", 1002 } } },
      .mMaxOutstanding = 1,
    };
    mTables->mRoutes[route_name{ "stock" }].mRow =
      route_row{ .mName = route_name{ "stock" },
                 .mPathPrefix = "/stock",
                 .mPool = pool_name{ "desk" },
                 .mAccess = route_access::Open };
    mTables->mKeys[digest::Of("k")].mRow =
      key_row{ .mDigest = digest::Of("k"), .mWorkspace = workspace_id{ "w" } };
    mTables->mWorkspaces[workspace_id{ "w" }].mRow =
      workspace_row{ .mName = workspace_id{ "w" }, .mRate = 1, .mBurst = 1 };
    mDirector.SetTables(mTables);
  }

  void SetIdempotency(idempotency aIdempotency)
  {
    mTables->mRoutes[route_name{ "stock" }].mRow.mIdempotency = aIdempotency;
  }

  void Open(call_number aCall = kCall)
  {
    mDirector.Handle(call_opened{ caller_request{
                       .mCall = aCall,
                       .mId = request_id{ std::to_string(aCall.Value()) },
                       .mMethod = "POST",
                       .mTarget = "/stock/12",
                       .mBody = std::make_shared<std::string const>("{}"),
                       .mKey = digest::Of("k") } },
                     mNow);
  }

  void EndAttempt(transfer_failure aFailure, verdict aVerdict)
  {
    upstream_request const attempt = LastAttempt();
    mDirector.Handle(upstream_end{ .mCall = attempt.mCall,
                                   .mAttempt = attempt.mAttempt,
                                   .mFailure = aFailure,
                                   .mVerdict = aVerdict,
                                   .mStatus = 200,
                                   .mBody = "ok" },
                     mNow);
  }

  upstream_request LastAttempt()
  {
    return std::get<upstream_request>(mPorts.mUpstream.back());
  }

  refusal LastRefusal()
  {
    return std::get<front_refusal>(mPorts.mFront.back()).mRefusal;
  }

  instant mNow{};
  recording_ports mPorts;
  healthy_view mView;
  instance_identity mSelf{ instance_id{ "i" }, incarnation{ 1 } };
  fleet_budget mBudget{ mSelf, {}, {}, {} };
  once_gate mGate{ mSelf, {}, {} };
  poison_table mPoison{ {} };
  metrics_recorder mMetrics;
  std::shared_ptr<config_tables> mTables;
  request_director<recording_ports, healthy_view, round_robin_policy> mDirector{
    mPorts,
    mView,
    director_dependencies{ .mBudget = mBudget,
                           .mGate = mGate,
                           .mPoison = mPoison,
                           .mMetrics = mMetrics },
    failure_domain{ "z" }
  };
};

TEST_F(TestRequestDirector, ForwardsTheAnswerToTheCaller)
{
  Open();
  EndAttempt(transfer_failure::None, verdict::Ran);
  EXPECT_EQ(std::get<front_answer>(mPorts.mFront.back()).mBody, "ok");
  EXPECT_EQ(mDirector.OpenCalls(), 0U);
}

TEST_F(TestRequestDirector, RetriesAFailedIdempotentAttemptOnceOnAnotherServer)
{
  Open();
  endpoint const first = LastAttempt().mServer;
  EndAttempt(transfer_failure::ConnectionLost, verdict::MayHaveRun);
  EXPECT_NE(LastAttempt().mServer, first);
  EndAttempt(transfer_failure::ConnectionLost, verdict::MayHaveRun);
  EXPECT_EQ(LastRefusal().mVerdict, verdict::MayHaveRun);
  EXPECT_EQ(mPorts.mUpstream.size(), 2U);
}

TEST_F(TestRequestDirector, DoesNotRetryANonIdempotentRequestThatMayHaveRun)
{
  SetIdempotency(idempotency::NonIdempotent);
  Open();
  EndAttempt(transfer_failure::ConnectionLost, verdict::MayHaveRun);
  EXPECT_EQ(mPorts.mUpstream.size(), 1U);
  EXPECT_EQ(LastRefusal().mVerdict, verdict::MayHaveRun);
}

TEST_F(TestRequestDirector, RetriesANonIdempotentRequestThatWasNotSent)
{
  SetIdempotency(idempotency::NonIdempotent);
  Open();
  EndAttempt(transfer_failure::NotConnected, verdict::NotRun);
  EndAttempt(transfer_failure::None, verdict::Ran);
  EXPECT_EQ(std::get<front_answer>(mPorts.mFront.back()).mBody, "ok");
}

TEST_F(TestRequestDirector, RefusesAQueuedRequestWhoseKeyWasWithdrawn)
{
  Open(call_number{ 1 });
  Open(call_number{ 2 });
  Open(call_number{ 3 });
  ASSERT_EQ(mPorts.mUpstream.size(), 2U);
  // From now on the route requires a key, and the callers' key is withdrawn.
  mTables->mKeys.clear();
  mTables->mRoutes[route_name{ "stock" }].mRow.mAccess = route_access::Keyed;
  EndAttempt(transfer_failure::None, verdict::Ran);
  EXPECT_EQ(mPorts.mUpstream.size(), 2U);
  EXPECT_EQ(LastRefusal().mCode, refusal_code::InvalidKey);
}

TEST_F(TestRequestDirector, RefusesAQueuedRequestAfterItsQueueDeadline)
{
  Open(call_number{ 1 });
  Open(call_number{ 2 });
  Open(call_number{ 3 });
  mNow += route_row{}.mQueueDeadline;
  mDirector.Tick(mNow);
  EXPECT_EQ(LastRefusal().mCode, refusal_code::QueueDeadline);
  EXPECT_EQ(LastRefusal().mVerdict, verdict::NotRun);
}

TEST_F(TestRequestDirector, RefusesARequestOnWhichTwoServersCrashed)
{
  Open(call_number{ 1 });
  EndAttempt(transfer_failure::ConnectionLost, verdict::MayHaveRun);
  EndAttempt(transfer_failure::ConnectionLost, verdict::MayHaveRun);
  EXPECT_EQ(mDirector.TakeCrashReports().size(), 2U);
  Open(call_number{ 2 });
  EXPECT_EQ(mPorts.mUpstream.size(), 2U);
  EXPECT_EQ(LastRefusal().mCode, refusal_code::PoisonRequest);
  EXPECT_EQ(LastRefusal().mVerdict, verdict::NotRun);
}

TEST_F(TestRequestDirector, RefusesNewRequestsWhenTheInstanceIsStopping)
{
  mView.mAccepts = false;
  Open();
  EXPECT_EQ(LastRefusal().mCode, refusal_code::ShuttingDown);
  EXPECT_TRUE(mPorts.mUpstream.empty());
}

TEST_F(TestRequestDirector, CancelsTheAttemptWhenTheCallerDisconnects)
{
  Open();
  mDirector.Handle(caller_disconnected{ kCall }, mNow);
  EXPECT_EQ(std::get<cancel_transfer>(mPorts.mUpstream.back()).mCall, kCall);
  EXPECT_EQ(mDirector.OpenCalls(), 0U);
}

}
}
