#pragma once

#include <LibCore/SystemClock.h>
#include <LibGateway/GatewayDialect.h>
#include <LibGateway/OwnAnswer.h>
#include <LibGateway/RefusalAnswer.h>
#include <LibGateway/TrafficCore.h>
#include <LibHttp/HttpStatus.h>

#include <memory>

namespace lycheeseam {

/// Answers whether the instance is ready, and which addresses callers should
/// use. Runs on the traffic thread.
template<gateway_dialect Dialect>
class instance_questions
{
public:
  explicit instance_questions(traffic_core& aCore)
    : mCore(aCore)
  {
  }

  own_answer Answer(request_head const& aQuestion)
  {
    std::shared_ptr<fleet_view const> const& view = mCore.View(mClock.Now());
    bool const isReady = view->mConfig && !mCore.IsLeaving();
    if (Dialect::IsAddressQuestion(aQuestion) && !view->mReadyInstances.empty())
      return {
        .mHead = { .mStatus = kHttpOk,
                   .mReason = "OK",
                   .mFields = { { "Content-Type", "application/json" } } },
        .mBody = Dialect::FormatAddresses(view->mReadyInstances,
                                          mCore.Options().mAddressLifetime)
      };
    if (Dialect::IsReadinessCheck(aQuestion) && isReady)
      return { .mHead = { .mStatus = kHttpOk, .mReason = "OK" } };
    return { .mHead = RefusalHead(refusal_status::NotReady, {}) };
  }

private:
  traffic_core& mCore;
  system_clock mClock;
};

}
