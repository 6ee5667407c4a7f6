#include <LibFleet/ServerLimits.h>

#include <chrono>

namespace lycheeseam {

namespace {

// Instances with requests for a limited server repeat its limit each second.
constexpr std::chrono::seconds kKeptTime{ 60 };

// A report takes some time, so the same observation looks younger each time it
// is reported.
constexpr std::chrono::milliseconds kReportTime{ 250 };

bool
IsNewer(observed_limit const& aLimit, observed_limit const& aKnown)
{
  if (aLimit.mServer.mIncarnation != aKnown.mServer.mIncarnation)
    return aLimit.mServer.mIncarnation > aKnown.mServer.mIncarnation;
  bool const isSame = aLimit.mRequestsPerSecond == aKnown.mRequestsPerSecond;
  return aLimit.mObservedAt >
         aKnown.mObservedAt + (isSame ? kReportTime : duration{});
}

}

std::vector<observed_limit>
server_limits::Merge(std::span<observed_limit const> aObserved)
{
  std::vector<observed_limit> news;
  for (observed_limit const& observed : aObserved) {
    auto const [known, isNew] =
      mObserved.try_emplace(observed.mServer.mServer, observed);
    if (!isNew && !IsNewer(observed, known->second))
      continue;
    known->second = observed;
    news.push_back(observed);
  }
  return news;
}

void
server_limits::Prune(instant aNow)
{
  std::erase_if(mObserved, [aNow](auto const& aEntry) {
    return aNow - aEntry.second.mObservedAt > kKeptTime;
  });
}

std::vector<observed_limit>
server_limits::List() const
{
  std::vector<observed_limit> list;
  list.reserve(mObserved.size());
  for (auto const& [id, observed] : mObserved)
    list.push_back(observed);
  return list;
}

}
