#include "SimulatedFleet.h"

#include <LibRollout/FirstServers.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 32;
constexpr double kUsualFailures = 0.003;
constexpr duration kReportInterval = milliseconds{ 200 };
constexpr duration kTickInterval = milliseconds{ 100 };
software_version const kOldSoftware{ "old" };
software_version const kNewSoftware{ "new" };

duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>{ aSeconds });
}

}

simulated_fleet::simulated_fleet(simulation_options const& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mOrder{ .mPool = pool_name{ "engines" },
            .mTarget = kNewSoftware,
            .mDuration = aOptions.mOrderTime,
            .mNumber = 7 }
  , mJudge(mOrder.mNumber)
{
  for (std::size_t i = 0; i < mOptions.mOldServers; ++i)
    mOld.push_back({ backend_server_id{ "old" + std::to_string(i) }, mNow });
  std::vector<backend_server_id> ids;
  for (std::size_t i = 0; i < mOptions.mNewServers; ++i)
    ids.emplace_back("new" + std::to_string(i));
  for (backend_server_id const& id : FirstServers(ids, 0))
    mNew.push_back({ id, mNow + Random(0.3, 1.5) });
  for (std::size_t i = 0; i < mOptions.mGates; ++i)
    mMembers.push_back({ .mGate = rollout_gate{ rollout_limits{} } });
  mRoutes = { { route_name{ "long" }, 1, 0.25, 0.3 },
              { route_name{ "short" }, 0, 0.15, 1.0 },
              { route_name{ "lookup" }, 0, 0.06, 0.02 } };
  mPlan.emplace(mOrder, rollout_limits{}, duration::zero());
}

void
simulated_fleet::At(instant aWhen, std::function<void()> aAction)
{
  mEvents.emplace(aWhen, std::move(aAction));
}

duration
simulated_fleet::Random(double aLeast, double aMost)
{
  return FromSeconds(aLeast + (aMost - aLeast) * Uniform());
}

bool
simulated_fleet::IsCutOff(std::size_t aMember) const
{
  return mOptions.mCutOff.contains(aMember) &&
         SinceOrder() >= mOptions.mCutOffFrom;
}

std::uint32_t
simulated_fleet::ReadyTarget() const
{
  return static_cast<std::uint32_t>(
    std::count_if(mNew.begin(), mNew.end(), [this](server const& aServer) {
      return aServer.mReadyAt <= mNow;
    }));
}

void
simulated_fleet::Arrive()
{
  At(mNow +
       FromSeconds(std::exponential_distribution<>{ mOptions.mRate }(mRandom)),
     [this]() { Arrive(); });
  std::size_t const index = mRandom() % mMembers.size();
  if (SinceOrder() <= mOptions.mOrderTime)
    ++mResult.mArrived;
  std::vector<software_count> const counts{
    { kOldSoftware, static_cast<std::uint32_t>(mOld.size()) },
    { kNewSoftware, ReadyTarget() },
  };
  allowed_software const allowed =
    mMembers[index].mGate.Choose(mNow, mOrder.mPool, mRandom(), counts);
  Send(index,
       allowed.Allows(kNewSoftware) && !allowed.Allows(kOldSoftware),
       allowed.mServers);
}

simulated_fleet::server&
simulated_fleet::PickServer(bool aIsTarget, std::uint32_t aServers)
{
  std::vector<server>& servers = aIsTarget ? mNew : mOld;
  std::vector<server*> ready;
  for (server& candidate : servers) {
    bool const isFull = aServers > 0 && ready.size() >= aServers && aIsTarget;
    if (candidate.mReadyAt <= mNow && !isFull)
      ready.push_back(&candidate);
  }
  // The less loaded of two, as a balancer chooses.
  server* const first = ready.at(mRandom() % ready.size());
  server* const second = ready.at(mRandom() % ready.size());
  return first->mRunning <= second->mRunning ? *first : *second;
}

void
simulated_fleet::Send(std::size_t aMember,
                      bool aIsTarget,
                      std::uint32_t aServers)
{
  server& chosen = PickServer(aIsTarget, aServers);
  simulated_behaviour const& behaviour =
    aIsTarget ? mOptions.mNew : mOptions.mOld;
  std::size_t const routeIndex = mRandom() % mRoutes.size();
  route const& on = mRoutes[routeIndex];
  bool const applies = SinceOrder() >= behaviour.mFrom &&
                       behaviour.mRoute.value_or(routeIndex) == routeIndex &&
                       chosen.mRunning >= behaviour.mAboveRunning;
  bool const fails =
    Uniform() < kUsualFailures + (applies ? behaviour.mFailurePart : 0);
  bool const isSlow = applies && Uniform() < behaviour.mSlowPart;
  // A server slows down as its slots fill.
  double const load = 1 + static_cast<double>(chosen.mRunning) / kSlots;
  std::lognormal_distribution<> spread{ 0, 0.4 };
  double const first = on.mFirstEvent * spread(mRandom) * load *
                       (isSlow ? behaviour.mSlowFactor : 1);
  double const pauses = applies ? behaviour.mPauseFactor : 1;
  rollout_sample sample{ .mOrder = mOrder.mNumber,
                         .mRoute = on.mName,
                         .mSide = aIsTarget ? rollout_side::Target
                                            : rollout_side::Others,
                         .mAnswers = 1,
                         .mFailures = fails ? 1U : 0U };
  if (!fails) {
    sample.mFirstEvent.at(on.mSize).Add(FromSeconds(first));
    sample.mLongestPause.Add(FromSeconds(0.06 * spread(mRandom) * pauses));
  }
  if (aIsTarget && SinceOrder() <= mOptions.mOrderTime) {
    ++mResult.mTargetSends;
    mResult.mLastTargetSendAt = SinceOrder();
    if (IsCutOff(aMember) &&
        SinceOrder() > mOptions.mCutOffFrom + milliseconds{ 1950 })
      ++mResult.mLateCutOffSends;
  }
  ++chosen.mRunning;
  mMembers[aMember].mRunningOnOld += aIsTarget ? 0 : 1;
  bool const isBad = aIsTarget && (fails || isSlow || pauses > 2);
  At(mNow + FromSeconds(first), [this, aMember, sample, isBad]() {
    Record(aMember, sample);
    NoteBad(true, isBad);
  });
  At(mNow + FromSeconds(first + on.mStream * pauses),
     [this, aMember, aIsTarget, &chosen]() {
       --chosen.mRunning;
       mMembers[aMember].mRunningOnOld -= aIsTarget ? 0 : 1;
     });
}

void
simulated_fleet::NoteBad(bool aIsTarget, bool aIsBad)
{
  if (!aIsTarget || !aIsBad)
    return;
  constexpr std::uint64_t kFiftieth = 50;
  if (++mResult.mBadAnswers == kFiftieth)
    mResult.mFiftiethBadAt = SinceOrder();
}

void
simulated_fleet::Record(std::size_t aMember, rollout_sample const& aSample)
{
  for (rollout_sample& known : mMembers[aMember].mSamples) {
    if (known.HasKeyOf(aSample)) {
      known += aSample;
      return;
    }
  }
  mMembers[aMember].mSamples.push_back(aSample);
}

void
simulated_fleet::Report(std::size_t aMember)
{
  At(mNow + kReportInterval, [this, aMember]() { Report(aMember); });
  if (IsCutOff(aMember))
    return;
  member& sender = mMembers[aMember];
  bool const isDrained = sender.mKnown.mPhase == rollout_phase::Draining &&
                         sender.mRunningOnOld == 0;
  std::uint64_t const revision = isDrained ? sender.mKnown.mRevision : 0;
  auto const deliver =
    [this, aMember, revision, samples = std::move(sender.mSamples)]() {
      for (rollout_sample const& sample : samples)
        mJudge.Add(mNow, sample);
      mMembers[aMember].mDrainedRevision = revision;
    };
  At(mNow + Random(0.1, 0.35), deliver);
  sender.mSamples.clear();
}

}
