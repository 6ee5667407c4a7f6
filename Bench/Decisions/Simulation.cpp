#include <LibPlacement/ShardOwner.h>

#include <Bench/Decisions/LoadGenerator.h>
#include <Bench/Decisions/Simulation.h>
#include <Bench/Decisions/SimulationConstants.h>

#include <algorithm>
#include <string>

namespace lycheeseam::bench {

simulation::simulation(simulation_options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed + 1)
  , mStore(kStoreBlocks)
{
  load_generator load{ mOptions.mDeployment, mOptions.mCase, mOptions.mSeed };
  mArrivals = load.Generate(mOptions.mLength);
  mStates.resize(mArrivals.size());
  MakeBuckets();
  MakeEngines();
  MakeInstances();
}

void
simulation::Run()
{
  for (std::size_t index = 0; index < mArrivals.size(); ++index)
    mScheduler.At(mArrivals[index].mAt + mOptions.mDeployment.mCallerHop,
                  [this, index]() { OnArrival(index); });
  ScheduleReports();
  ScheduleFaults();
  mScheduler.RunUntil(instant{} + mOptions.mLength + kDrain);
}

void
simulation::MakeBuckets()
{
  deployment const& site = mOptions.mDeployment;
  std::vector<double> tokens(site.mShares.size());
  std::vector<double> requests(site.mShares.size());
  for (arrival const& request : mArrivals) {
    tokens[request.mWorkspace] +=
      static_cast<double>(request.mPromptTokens + request.mAnswerTokens);
    ++requests[request.mWorkspace];
  }
  for (std::size_t index = 0; index < tokens.size(); ++index) {
    double const usual =
      tokens[index] / requests[index] * site.mShares[index] * site.mArrivalRate;
    double const rate = usual * kRateHeadroom;
    mBuckets.emplace_back(rate, rate * kBurstSeconds);
  }
}

void
simulation::MakeEngines()
{
  for (std::size_t index = 0; index < mOptions.mDeployment.mWorkers; ++index)
    mEngines.push_back(std::make_unique<fake_engine>(
      mScheduler,
      engine_listener{
        .mOnFirstToken = [this](engine_job const& aJob) { OnFirstToken(aJob); },
        .mOnEnd = [this](engine_job const& aJob) { OnEnd(aJob); },
        .mOnCrashed =
          [this](engine_job const& aJob) { OnFailure(aJob.mRequest); } }));
  mSequences.resize(mEngines.size());
}

void
simulation::MakeInstances()
{
  deployment const& site = mOptions.mDeployment;
  for (std::size_t index = 0; index < site.mInstances; ++index) {
    mInstanceNames.emplace_back("entry-" + std::to_string(index));
    mInstances.emplace_back(site.mWorkers,
                            site.mFailureDomains,
                            mOptions.mWindow,
                            DomainName(index % site.mFailureDomains),
                            MakePolicy(mOptions.mPolicy, mOptions.mCost));
  }
}

void
simulation::ScheduleFaults()
{
  std::uniform_int_distribution<std::size_t> worker{ 0, mEngines.size() - 1 };
  instant const end = instant{} + mOptions.mLength;
  duration const crash = mOptions.mCase.mCrashInterval;
  for (instant at = instant{} + crash; crash > duration{} && at < end;
       at += crash) {
    std::size_t const hit = worker(mRandom);
    mScheduler.At(at, [this, hit]() { mEngines[hit]->Crash(); });
    mScheduler.At(at + kDownTime, [this, hit]() { mEngines[hit]->Restart(); });
  }
  duration const restart = mOptions.mCase.mRestartInterval;
  std::size_t instance = 0;
  for (instant at = instant{} + restart / 2; restart > duration{} && at < end;
       at += restart) {
    std::size_t const hit = instance++ % mInstances.size();
    mScheduler.At(at,
                  [this, hit]() { mInstances[hit].mShard = block_shard{}; });
  }
}

void
simulation::ScheduleReports()
{
  instant const end = instant{} + mOptions.mLength;
  for (std::size_t server = 0; server < mEngines.size(); ++server) {
    // The offset spreads the engines' reports over time.
    duration const offset = kLoadInterval * static_cast<int>(server) / 32;
    for (instant at = instant{} + offset; at < end; at += kLoadInterval)
      mScheduler.At(at, [this, server]() { PublishLoad(server); });
    if (mOptions.mPolicy != policy_kind::Full)
      continue;
    for (instant at = instant{} + offset; at < end; at += kEventInterval)
      mScheduler.At(at, [this, server]() { PublishEvents(server); });
  }
}

void
simulation::PublishLoad(std::size_t aServer)
{
  fake_engine const& engine = *mEngines[aServer];
  if (!engine.IsUp())
    return;
  server_load const load = engine.Load();
  incarnation const current = engine.Incarnation();
  mScheduler.After(kLoadLag, [this, aServer, load, current]() {
    for (std::size_t index = 0; index < mInstances.size(); ++index) {
      mInstances[index].OnReport(aServer, current, load, mScheduler.Now());
      AdmitQueued(index);
    }
  });
}

void
simulation::PublishEvents(std::size_t aServer)
{
  if (!mEngines[aServer]->IsUp())
    return;
  std::vector<cache_event> const events = mEngines[aServer]->TakeEvents();
  mSequences[aServer] = mSequences[aServer].Next();
  event_sequence const sequence = mSequences[aServer];
  std::uniform_real_distribution<double> chance;
  if (chance(mRandom) < mOptions.mCase.mEventLoss)
    return;
  incarnation const current = mEngines[aServer]->Incarnation();
  mScheduler.After(kEventLag, [this, aServer, events, sequence, current]() {
    if (current == mEngines[aServer]->Incarnation())
      DeliverEvents(aServer, events, sequence);
  });
}

void
simulation::DeliverEvents(std::size_t aServer,
                          std::span<cache_event const> aEvents,
                          event_sequence aSequence)
{
  std::vector<std::vector<cache_event>> parts(mInstances.size());
  for (cache_event const& event : aEvents)
    parts[OwnerOf(event.mBlock)].push_back(event);
  for (std::size_t index = 0; index < parts.size(); ++index) {
    mEventBytes += 2 * (kBatchBytes + kEventBytes * parts[index].size());
    mInstances[index].mShard.OnEvents(
      { .mServer = ServerName(aServer),
        .mIncarnation = mEngines[aServer]->Incarnation(),
        .mFirst = aSequence,
        .mLast = aSequence,
        .mEvents = parts[index] },
      mScheduler.Now());
  }
}

std::size_t
simulation::OwnerOf(block_hash aRoot) const
{
  return static_cast<std::size_t>(ShardOwner(aRoot, mInstanceNames) -
                                  mInstanceNames.data());
}

duration
simulation::Hop(std::size_t aLeft, std::size_t aRight) const
{
  deployment const& site = mOptions.mDeployment;
  bool const isNear =
    aLeft % site.mFailureDomains == aRight % site.mFailureDomains;
  return isNear ? kNearHop : site.mHop;
}

}
