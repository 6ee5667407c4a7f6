#include <LibOnce/PermitClient.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheeseam {

void
permit_client::Begin(instant aNow,
                     run_request const& aRequest,
                     poison_table const& aTable)
{
  if (aTable.IsRefused(aNow, aRequest.mPermitRequest.mFingerprint)) {
    Decide(aRequest, std::nullopt);
    return;
  }
  pending_request& pending = mPending[aRequest.mPermitRequest.mRequest];
  pending.mRequest = aRequest;
  RequestPermit(aNow, pending);
}

void
permit_client::OnAnswer(instant aNow,
                        permit_answer const& aAnswer,
                        poison_table const& aTable)
{
  auto const found = mPending.find(aAnswer.mRequest);
  if (found == mPending.end()) {
    // The answer came after the request was decided without it.
    return;
  }
  pending_request& pending = found->second;
  digest const& fingerprint = pending.mRequest.mPermitRequest.mFingerprint;
  if (aTable.Crashes(aNow, fingerprint).size() > aAnswer.mCrashes) {
    // The owner decided before it received a report of a crash that this
    // instance has received. The request is sent again after a delay.
    mPermitReturns.push_back(
      { .mRequest = aAnswer.mRequest, .mFingerprint = fingerprint });
    pending.mIsAnswered = true;
    pending.mWakeAt =
      std::min(aNow + mTiming.mRetryDelay, pending.mRequest.mDeadline);
    return;
  }
  switch (aAnswer.mDecision) {
    case permit_decision::Granted:
      Decide(pending.mRequest, pending.mRequest.mPermitRequest.mServer);
      mPending.erase(found);
      break;
    case permit_decision::Refused:
      Decide(pending.mRequest, std::nullopt);
      mPending.erase(found);
      break;
    case permit_decision::UseFallback:
      pending.mRequest.mPermitRequest.mServer = pending.mRequest.mFallback;
      RequestPermit(aNow, pending);
      break;
    case permit_decision::Wait:
      pending.mIsAnswered = true;
      pending.mWakeAt =
        std::min(aNow + mTiming.mRetryDelay, pending.mRequest.mDeadline);
      if (Wake(aNow, pending, aTable))
        mPending.erase(found);
      break;
  }
}

void
permit_client::End(request_id const& aRequest, run_result aResult)
{
  auto const found = mRunning.find(aRequest);
  if (found == mRunning.end())
    return;
  mPermitReturns.push_back({ .mRequest = aRequest,
                             .mFingerprint = found->second.mFingerprint,
                             .mResult = aResult });
  if (aResult == run_result::Crashed)
    mCrashReports.push_back(
      { .mServer = found->second.mServer,
        .mFingerprints = { found->second.mFingerprint } });
  mRunning.erase(found);
}

std::vector<permit_request>
permit_client::Running() const
{
  std::vector<permit_request> running;
  for (auto const& [request, permitRequest] : mRunning)
    running.push_back(permitRequest);
  return running;
}

void
permit_client::Tick(instant aNow, poison_table const& aTable)
{
  for (auto next = mPending.begin(); next != mPending.end();) {
    bool const isDecided = Wake(aNow, next->second, aTable);
    next = isDecided ? mPending.erase(next) : std::next(next);
  }
}

std::optional<instant>
permit_client::NextWake() const
{
  std::optional<instant> next;
  for (auto const& [request, pending] : mPending)
    next = std::min(next.value_or(pending.mWakeAt), pending.mWakeAt);
  return next;
}

std::vector<permit_request>
permit_client::TakePermitRequests()
{
  return std::exchange(mPermitRequests, {});
}

std::vector<permit_return>
permit_client::TakePermitReturns()
{
  return std::exchange(mPermitReturns, {});
}

std::vector<crash_report>
permit_client::TakeCrashReports()
{
  return std::exchange(mCrashReports, {});
}

std::vector<run_decision>
permit_client::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

void
permit_client::RequestPermit(instant aNow, pending_request& aPending)
{
  aPending.mIsAnswered = false;
  aPending.mWakeAt =
    std::min(aNow + mTiming.mPermitTimeout, aPending.mRequest.mDeadline);
  mPermitRequests.push_back(aPending.mRequest.mPermitRequest);
}

void
permit_client::Decide(run_request const& aRequest,
                      std::optional<server_identity> aServer)
{
  permit_request running = aRequest.mPermitRequest;
  if (aServer) {
    running.mServer = *aServer;
    mRunning.insert_or_assign(running.mRequest, running);
  } else {
    // The owner may have granted a permit in an answer that was lost.
    mPermitReturns.push_back(
      { .mRequest = running.mRequest, .mFingerprint = running.mFingerprint });
  }
  mDecisions.push_back(
    { .mRequest = running.mRequest, .mServer = std::move(aServer) });
}

bool
permit_client::Wake(instant aNow,
                    pending_request& aPending,
                    poison_table const& aTable)
{
  if (aNow < aPending.mWakeAt)
    return false;
  run_request const& request = aPending.mRequest;
  bool const isSuspect =
    !aTable.Crashes(aNow, request.mPermitRequest.mFingerprint).empty();
  if (aNow >= request.mDeadline) {
    Decide(request, std::nullopt);
    return true;
  }
  if (!aPending.mIsAnswered && !isSuspect) {
    // The owner does not answer. All runs without a permit go to the fallback
    // server, so they crash at most that one server.
    Decide(request, request.mFallback);
    return true;
  }
  RequestPermit(aNow, aPending);
  return false;
}

}
