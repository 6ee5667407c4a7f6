#include <LibFleet/ConvertEach.h>
#include <LibFleet/LimitNotices.h>

#include <chrono>

namespace lycheeseam {

std::vector<limit_notice>
MakeLimitNotices(instant aNow, std::span<observed_limit const> aObserved)
{
  return ConvertEach<limit_notice>(
    aObserved, [aNow](observed_limit const& aLimit) {
      return limit_notice{
        .mServer = aLimit.mServer,
        .mRequestsPerSecond = aLimit.mRequestsPerSecond,
        .mAge = std::chrono::duration_cast<std::chrono::milliseconds>(
          aNow - aLimit.mObservedAt)
      };
    });
}

std::vector<observed_limit>
ReadLimitNotices(instant aNow, std::span<limit_notice const> aNotices)
{
  return ConvertEach<observed_limit>(
    aNotices, [aNow](limit_notice const& aNotice) {
      return observed_limit{ .mServer = aNotice.mServer,
                             .mRequestsPerSecond = aNotice.mRequestsPerSecond,
                             .mObservedAt = aNow - aNotice.mAge };
    });
}

}
