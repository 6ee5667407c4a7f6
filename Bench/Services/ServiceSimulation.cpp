#include <Bench/Services/ServiceSimulation.h>
#include <Bench/Support/Percentile.h>

#include <chrono>

namespace lycheeseam::bench {

namespace {

using namespace std::chrono_literals;

constexpr instant kSurgeStart = instant{} + 20s;
constexpr instant kSurgeEnd = instant{} + 30s;
constexpr instant kLateFrom = kSurgeEnd + 20s;
constexpr duration kPauseInterval = 10s;

duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>{ aSeconds });
}

}

service_simulation::service_simulation(service_options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mRetries({ .mRetriesPerRequest = mOptions.mBudget })
  , mServers(mOptions.mServers)
{
}

service_result
service_simulation::Run()
{
  ScheduleArrivals();
  SchedulePauses();
  mScheduler.RunUntil(instant{} + mOptions.mLength + 10s);
  return Summarize();
}

void
service_simulation::ScheduleArrivals()
{
  instant at{};
  while (at < instant{} + mOptions.mLength) {
    bool const isSurge = at >= kSurgeStart && at < kSurgeEnd;
    double const rate =
      mOptions.mArrivalRate * (isSurge ? mOptions.mSurge : 1.0);
    at += Seconds(std::exponential_distribution<double>{ rate }(mRandom));
    std::size_t const index = mLookups.size();
    mLookups.push_back({ .mArrivedAt = at });
    mScheduler.At(at, [this, index]() { Start(index); });
  }
}

void
service_simulation::SchedulePauses()
{
  if (mOptions.mPause == duration{})
    return;
  std::size_t pauses = 0;
  for (instant at = instant{} + kPauseInterval;
       at < instant{} + mOptions.mLength;
       at += kPauseInterval) {
    std::size_t const paused = pauses++ % mServers.size();
    mScheduler.At(at, [this, paused]() { mServers[paused].mIsPaused = true; });
    mScheduler.At(at + mOptions.mPause, [this, paused]() {
      mServers[paused].mIsPaused = false;
      ServeWaiting(paused);
    });
  }
}

void
service_simulation::Start(std::size_t aLookup)
{
  mRetries.OnRequest();
  Send(aLookup);
  if (mOptions.mHedgeAfter > duration{})
    mScheduler.After(mOptions.mHedgeAfter,
                     [this, aLookup]() { OnHedge(aLookup); });
}

void
service_simulation::Send(std::size_t aLookup)
{
  lookup& wanted = mLookups[aLookup];
  std::size_t const picked = PickServer(wanted);
  wanted.mLastServer = picked;
  std::uint32_t const attempt = ++wanted.mAttempts;
  mServers[picked].mQueue.push_back(aLookup);
  ++mServers[picked].mOutstanding;
  ServeWaiting(picked);
  if (mOptions.mTimeout > duration{})
    mScheduler.After(mOptions.mTimeout, [this, aLookup, attempt]() {
      OnTimeout(aLookup, attempt);
    });
}

void
service_simulation::OnHedge(std::size_t aLookup)
{
  if (!mLookups[aLookup].mIsAnswered && mRetries.TrySpend())
    Send(aLookup);
}

void
service_simulation::OnTimeout(std::size_t aLookup, std::uint32_t aAttempt)
{
  lookup& wanted = mLookups[aLookup];
  if (wanted.mIsAnswered || wanted.mAttempts != aAttempt)
    return;
  bool const mayRetry = aAttempt < mOptions.mMaxAttempts;
  if (mayRetry && mRetries.TrySpend())
    Send(aLookup);
  else
    wanted.mIsGivenUp = true;
}

void
service_simulation::ServeWaiting(std::size_t aServer)
{
  server& host = mServers[aServer];
  while (!host.mIsPaused && host.mBusy < mOptions.mConcurrency &&
         !host.mQueue.empty()) {
    std::size_t const next = host.mQueue.front();
    host.mQueue.pop_front();
    ++host.mBusy;
    double const mean =
      std::chrono::duration<double>(mOptions.mMeanService).count();
    mScheduler.After(
      Seconds(std::exponential_distribution<double>{ 1.0 / mean }(mRandom)),
      [this, aServer, next]() { OnServed(aServer, next); });
  }
}

void
service_simulation::OnServed(std::size_t aServer, std::size_t aLookup)
{
  server& host = mServers[aServer];
  --host.mBusy;
  --host.mOutstanding;
  lookup& wanted = mLookups[aLookup];
  // A server also serves lookups whose caller has given up; their answers are
  // ignored.
  if (!wanted.mIsAnswered && !wanted.mIsGivenUp) {
    wanted.mIsAnswered = true;
    wanted.mMilliseconds = std::chrono::duration<double, std::milli>(
                             mScheduler.Now() - wanted.mArrivedAt)
                             .count();
  }
  ServeWaiting(aServer);
}

std::size_t
service_simulation::PickServer(lookup const& aLookup) const
{
  std::size_t best = mServers.size();
  for (std::size_t index = 0; index < mServers.size(); ++index) {
    // A further attempt goes to another server than the last.
    if (aLookup.mAttempts > 0 && index == aLookup.mLastServer)
      continue;
    if (best == mServers.size() ||
        mServers[index].mOutstanding < mServers[best].mOutstanding)
      best = index;
  }
  return best;
}

service_result
service_simulation::Summarize() const
{
  std::vector<double> answered;
  double attempts = 0;
  double failed = 0;
  double late = 0;
  double failedLate = 0;
  for (lookup const& each : mLookups) {
    attempts += each.mAttempts;
    if (each.mIsAnswered)
      answered.push_back(each.mMilliseconds);
    else
      ++failed;
    if (each.mArrivedAt < kLateFrom)
      continue;
    ++late;
    failedLate += each.mIsAnswered ? 0 : 1;
  }
  double const all = static_cast<double>(mLookups.size());
  return { .mName = mOptions.mName,
           .mP50Milliseconds = Percentile(answered, 0.5),
           .mP99Milliseconds = Percentile(answered, 0.99),
           .mP999Milliseconds = Percentile(answered, 0.999),
           .mAttemptsPerRequest = attempts / all,
           .mFailedPercent = 100 * failed / all,
           .mFailedLatePercent = 100 * failedLate / late };
}

}
