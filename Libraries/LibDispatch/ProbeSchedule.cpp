#include <LibDispatch/ProbeSchedule.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace lycheeseam {

namespace {

// A probe costs 0.5 to 1% of a request. With 10 requests a second for each
// instance, this many probes cost up to 0.3% of the requests.
constexpr double kProbesPerSecond = 3;

// With what is saved up, no second sees more than six probes.
constexpr double kMaxAvailable = 3;

// Requests sent earlier say little about the need to know more now.
constexpr std::uint32_t kMaxUnprobed = 3;

// Below this pressure any server answers soon.
constexpr double kMinPressure = 0.3;

// While reports are younger than this in the mean, placement by them is as good
// as it gets from a few probes.
constexpr std::chrono::milliseconds kMinMeanAge{ 400 };

// A younger report of a server still describes it.
constexpr std::chrono::milliseconds kMinAge{ 250 };

// Estimates use no older reports.
constexpr std::chrono::seconds kMaxAge{ 1 };

duration
ReportAge(instant aNow, tracked_server const& aServer)
{
  duration const age =
    aServer.mLoad ? aNow - aServer.mLoad->mReportedAt : duration{ kMaxAge };
  return std::min<duration>(age, kMaxAge);
}

}

void
probe_schedule::OnSent(pool_name const& aPool)
{
  std::uint32_t& unprobed = mUnprobed[aPool];
  unprobed = std::min(unprobed + 1, kMaxUnprobed);
}

tracked_server*
probe_schedule::Choose(instant aNow,
                       pool_name const& aPool,
                       std::span<tracked_server* const> aServers)
{
  Refill(aNow);
  auto const unprobed = mUnprobed.find(aPool);
  if (mAvailable < 1 || unprobed == mUnprobed.end() || unprobed->second == 0 ||
      !IsWorthwhile(aNow, aServers))
    return nullptr;
  std::vector<tracked_server*> candidates;
  for (tracked_server* const server : aServers) {
    if (IsCandidate(aNow, *server))
      candidates.push_back(server);
  }
  if (candidates.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> index{ 0, candidates.size() - 1 };
  tracked_server* const chosen = candidates[index(mRandom)];
  mAvailable -= 1;
  unprobed->second -= 1;
  mRunning.insert(chosen->mRegistered.mId);
  return chosen;
}

bool
probe_schedule::IsWorthwhile(instant aNow,
                             std::span<tracked_server* const> aServers)
{
  double pressure = 0;
  duration age{};
  for (tracked_server const* const server : aServers) {
    pressure += server->Pressure(aNow);
    age += ReportAge(aNow, *server);
  }
  return !aServers.empty() &&
         pressure >= kMinPressure * static_cast<double>(aServers.size()) &&
         age >= static_cast<duration::rep>(aServers.size()) *
                  duration{ kMinMeanAge };
}

// A server that wants no requests now, or counts them, gets no probes either.
bool
probe_schedule::IsCandidate(instant aNow, tracked_server const& aServer) const
{
  return !aServer.IsLeaving() && !aServer.mIsUpdating &&
         aServer.mPausedUntil <= aNow && !aServer.mLimit.RequestsPerSecond() &&
         aServer.mBreaker.State(aNow) == breaker_state::Closed &&
         ReportAge(aNow, aServer) > kMinAge &&
         !mRunning.contains(aServer.mRegistered.mId);
}

void
probe_schedule::Refill(instant aNow)
{
  std::chrono::duration<double> const passed = aNow - mRefilledAt;
  mRefilledAt = aNow;
  mAvailable =
    std::min(kMaxAvailable, mAvailable + passed.count() * kProbesPerSecond);
}

}
