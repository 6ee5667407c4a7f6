#include <LibFleet/LimitNotices.h>

#include <algorithm>
#include <iterator>

namespace lycheeseam {

std::vector<limit_notice>
MakeLimitNotices(instant aNow, std::span<observed_limit const> aObserved)
{
  std::vector<limit_notice> notices;
  std::transform(aObserved.begin(),
                 aObserved.end(),
                 std::back_inserter(notices),
                 [aNow](observed_limit const& aLimit) {
                   return limit_notice{
                     .mServer = aLimit.mServer,
                     .mRequestsPerSecond = aLimit.mRequestsPerSecond,
                     .mAge =
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                         aNow - aLimit.mObservedAt)
                   };
                 });
  return notices;
}

std::vector<observed_limit>
ReadLimitNotices(instant aNow, std::span<limit_notice const> aNotices)
{
  std::vector<observed_limit> observed;
  std::transform(aNotices.begin(),
                 aNotices.end(),
                 std::back_inserter(observed),
                 [aNow](limit_notice const& aNotice) {
                   return observed_limit{ .mServer = aNotice.mServer,
                                          .mRequestsPerSecond =
                                            aNotice.mRequestsPerSecond,
                                          .mObservedAt = aNow - aNotice.mAge };
                 });
  return observed;
}

}
