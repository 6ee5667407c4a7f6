#include <LibMembership/PeerSelection.h>

#include <Bench/Peers/MeasurePropagation.h>

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <string>

namespace lycheeseam::bench {

namespace {

// Delays in one direction, with the time to handle a frame: within a failure
// domain, and between domains, which may lie in different regions.
constexpr double kDomainDelayMs = 1.0;
constexpr double kCrossDomainDelayMs = 30.0;
constexpr std::size_t kDomains = 12;
constexpr int kRounds = 50;

std::vector<member>
MakeFleet(std::size_t aInstances)
{
  std::vector<member> members;
  std::size_t const domains = std::min(kDomains, aInstances / 2);
  for (std::size_t i = 0; i < aInstances; ++i)
    members.push_back(
      { .mIdentity = { .mInstance = instance_id{ "i" + std::to_string(i) } },
        .mFailureDomain =
          failure_domain{ "d" + std::to_string(i % domains) } });
  return members;
}

// How far an entry got: when it reached the last instance, how many instances
// it reached and how many frames that took.
struct spread
{
  double mLastMs = 0;
  std::size_t mFrames = 0;
  std::size_t mReached = 0;
};

struct arrival
{
  double mAtMs = 0;
  std::size_t mInstance = 0;

  bool operator>(arrival const& aOther) const { return mAtMs > aOther.mAtMs; }
};

class fleet_graph
{
public:
  explicit fleet_graph(std::vector<member> aMembers)
    : mMembers(std::move(aMembers))
  {
    std::map<instance_id, std::size_t> index;
    for (std::size_t i = 0; i < mMembers.size(); ++i)
      index[mMembers[i].mIdentity.mInstance] = i;
    for (member const& self : mMembers) {
      mLinks.emplace_back();
      for (instance_id const& peer :
           SelectPeers(self.mIdentity.mInstance, mMembers, {}))
        mLinks.back().push_back(index.at(peer));
    }
  }

  // Each instance relays an entry to all of its peers when it first receives
  // it. Instances in aUnreachable receive nothing.
  [[nodiscard]] spread Flood(std::size_t aReader,
                             failure_domain const& aUnreachable) const
  {
    spread result;
    std::vector<bool> has(mMembers.size(), false);
    std::priority_queue<arrival, std::vector<arrival>, std::greater<>> pending;
    pending.push({ .mInstance = aReader });
    while (!pending.empty()) {
      arrival const next = pending.top();
      pending.pop();
      if (has[next.mInstance])
        continue;
      has[next.mInstance] = true;
      ++result.mReached;
      result.mLastMs = next.mAtMs;
      for (std::size_t const peer : mLinks[next.mInstance]) {
        if (mMembers[peer].mFailureDomain == aUnreachable)
          continue;
        ++result.mFrames;
        pending.push({ .mAtMs = next.mAtMs + DelayMs(next.mInstance, peer),
                       .mInstance = peer });
      }
    }
    return result;
  }

  [[nodiscard]] double DelayMs(std::size_t aFrom, std::size_t aTo) const
  {
    bool const isNear =
      mMembers[aFrom].mFailureDomain == mMembers[aTo].mFailureDomain;
    return isNear ? kDomainDelayMs : kCrossDomainDelayMs;
  }

  [[nodiscard]] double MeanLinks() const
  {
    std::size_t links = 0;
    for (std::vector<std::size_t> const& peers : mLinks)
      links += peers.size();
    return static_cast<double>(links) / static_cast<double>(mLinks.size());
  }

private:
  std::vector<member> mMembers;
  std::vector<std::vector<std::size_t>> mLinks;
};

void
Measure(std::size_t aInstances, std::vector<measurement>& aMeasurements)
{
  fleet_graph const graph{ MakeFleet(aInstances) };
  std::mt19937 random{ 1 };
  std::uniform_int_distribution<std::size_t> any{ 0, aInstances - 1 };
  spread worst;
  spread worstWithOutage;
  std::size_t missed = 0;
  std::size_t const domains = std::min(kDomains, aInstances / 2);
  for (int i = 0; i < kRounds; ++i) {
    std::size_t const reader = any(random);
    spread const all = graph.Flood(reader, {});
    worst.mLastMs = std::max(worst.mLastMs, all.mLastMs);
    worst.mFrames = all.mFrames;
    std::size_t const unreachable = (reader + 1) % domains;
    spread const withOutage =
      graph.Flood(reader, failure_domain{ "d" + std::to_string(unreachable) });
    worstWithOutage.mLastMs =
      std::max(worstWithOutage.mLastMs, withOutage.mLastMs);
    std::size_t alive = 0;
    for (std::size_t j = 0; j < aInstances; ++j)
      alive += j % domains != unreachable;
    missed += alive - withOutage.mReached;
  }
  auto const add = [&](char const* aName, double aValue, char const* aUnit) {
    aMeasurements.push_back({ .mName = aName,
                              .mSizeOf = "instances",
                              .mSize = aInstances,
                              .mValue = aValue,
                              .mUnit = aUnit });
  };
  double const instances = static_cast<double>(aInstances);
  add("links of an instance, mean", graph.MeanLinks(), "links");
  add("entry read to all instances, worst", worst.mLastMs, "ms virtual");
  add("the same with a domain out", worstWithOutage.mLastMs, "ms virtual");
  add("instances missed with a domain out",
      static_cast<double>(missed),
      "instances");
  add("frames sent for an entry by an instance",
      static_cast<double>(worst.mFrames) / instances,
      "frames");
}

}

std::vector<measurement>
MeasurePropagation()
{
  std::vector<measurement> measurements;
  for (std::size_t const instances : { 8, 64, 330 })
    Measure(instances, measurements);
  return measurements;
}

}
