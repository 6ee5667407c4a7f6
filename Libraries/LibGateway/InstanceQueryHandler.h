#pragma once

#include <LibCore/SystemClock.h>
#include <LibGateway/GatewayDialect.h>
#include <LibGateway/LocalAnswer.h>
#include <LibGateway/RefusalAnswer.h>
#include <LibGateway/TrafficCore.h>
#include <LibHttp/HttpStatus.h>

#include <memory>

namespace lycheeseam {

/// Answers readiness checks and queries for the addresses that callers should
/// use. Runs on the traffic thread.
template<gateway_dialect Dialect>
class instance_query_handler
{
public:
  explicit instance_query_handler(traffic_core& aCore)
    : mCore(aCore)
  {
  }

  local_answer Answer(request_head const& aQuery)
  {
    std::shared_ptr<fleet_view const> const& view = mCore.View(mClock.Now());
    bool const isReady = view->mConfig && !mCore.IsDraining();
    if (Dialect::IsAddressQuery(aQuery) && !view->mReadyInstances.empty())
      return {
        .mHead = { .mStatus = kHttpOk,
                   .mReason = "OK",
                   .mFields = { { "Content-Type", "application/json" } } },
        .mBody = Dialect::FormatAddresses(view->mReadyInstances,
                                          mCore.Options().mAddressLifetime)
      };
    if (Dialect::IsReadinessCheck(aQuery) && isReady)
      return { .mHead = { .mStatus = kHttpOk, .mReason = "OK" } };
    return { .mHead = RefusalHead(refusal_status::NotReady, {}) };
  }

private:
  traffic_core& mCore;
  system_clock mClock;
};

}
