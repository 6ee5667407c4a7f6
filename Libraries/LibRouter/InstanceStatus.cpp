#include <LibRouter/InstanceStatus.h>

namespace lycheeseam {

namespace {

member
MakeSelfMember(daemon_settings const& aSettings, instance_identity const& aSelf)
{
  return member{ .mIdentity = aSelf,
                 .mFailureDomain = aSettings.mFailureDomain,
                 .mCallers = aSettings.mAdvertise.mCallers,
                 .mPeers = aSettings.mAdvertise.mPeers };
}

}

instance_status::instance_status(daemon_settings const& aSettings,
                                 instance_identity aSelf,
                                 instant aNow)
  : mSelf(std::move(aSelf))
  , mLogBound(aSettings.mTimeouts.mLogPollWait +
              aSettings.mHeartbeat.mFreshnessBound)
  , mMembers(MakeSelfMember(aSettings, mSelf), {})
  , mFreshness(mSelf.mInstance,
               { .mBound = aSettings.mHeartbeat.mFreshnessBound },
               aNow)
  , mDrain({ .mAddressTtl = aSettings.mTimeouts.mAddressTtl,
             .mFinishTimeout = aSettings.mTimeouts.mShutdown })
{
}

freshness_verdict
instance_status::Freshness(instant aNow) const
{
  return mFreshness.Assess(aNow, mMembers.Members(), mLinked);
}

log_state
instance_status::Log(instant aNow) const
{
  bool const isRecent = mTailReadAt && aNow - *mTailReadAt <= mLogBound;
  return isRecent ? log_state::Reachable : log_state::Unreachable;
}

bool
instance_status::Accepts(instant aNow) const
{
  return mDrain.Accepts(aNow);
}

bool
instance_status::IsAlive(instance_identity const& aIdentity) const
{
  return mMembers.MayRun(aIdentity);
}

void
instance_status::OnTailRead(log_offset aTail, instant aSentAt)
{
  mTailReadAt = aSentAt;
  mFreshness.OnApplied(aTail);
  mFreshness.OnTailRead(aTail, aSentAt);
}

void
instance_status::SetLinked(std::vector<instance_id> aLinked)
{
  mLinked = std::move(aLinked);
}

}
