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
  if (aTable.IsRefused(aNow, aRequest.mAsk.mFingerprint)) {
    Decide(aRequest, std::nullopt);
    return;
  }
  asking_request& asking = mAsking[aRequest.mAsk.mRequest];
  asking.mRequest = aRequest;
  Ask(aNow, asking);
}

void
permit_client::OnAnswer(instant aNow,
                        permit_answer const& aAnswer,
                        poison_table const& aTable)
{
  auto const found = mAsking.find(aAnswer.mRequest);
  if (found == mAsking.end()) {
    // A permit that comes after the request went on or was refused.
    return;
  }
  asking_request& asking = found->second;
  digest const& fingerprint = asking.mRequest.mAsk.mFingerprint;
  if (aTable.Crashes(aNow, fingerprint).size() > aAnswer.mCrashes) {
    // The home did not know of a crash that this instance knows of; by now it
    // does, or soon will.
    mEnds.push_back(
      { .mRequest = aAnswer.mRequest, .mFingerprint = fingerprint });
    asking.mIsAnswered = true;
    asking.mWakeAt =
      std::min(aNow + mTiming.mWaitPause, asking.mRequest.mDeadline);
    return;
  }
  switch (aAnswer.mPermission) {
    case permit_decision::Granted:
      Decide(asking.mRequest, asking.mRequest.mAsk.mServer);
      mAsking.erase(found);
      break;
    case permit_decision::Refused:
      Decide(asking.mRequest, std::nullopt);
      mAsking.erase(found);
      break;
    case permit_decision::UseFallback:
      asking.mRequest.mAsk.mServer = asking.mRequest.mFallback;
      Ask(aNow, asking);
      break;
    case permit_decision::Wait:
      asking.mIsAnswered = true;
      asking.mWakeAt =
        std::min(aNow + mTiming.mWaitPause, asking.mRequest.mDeadline);
      if (Wake(aNow, asking, aTable))
        mAsking.erase(found);
      break;
  }
}

void
permit_client::End(request_id const& aRequest, run_result aResult)
{
  auto const found = mRunning.find(aRequest);
  if (found == mRunning.end())
    return;
  mEnds.push_back({ .mRequest = aRequest,
                    .mFingerprint = found->second.mFingerprint,
                    .mResult = aResult });
  if (aResult == run_result::Crashed)
    mReports.push_back({ .mServer = found->second.mServer,
                         .mFingerprints = { found->second.mFingerprint } });
  mRunning.erase(found);
}

std::vector<permit_request>
permit_client::Running() const
{
  std::vector<permit_request> running;
  for (auto const& [request, ask] : mRunning)
    running.push_back(ask);
  return running;
}

void
permit_client::Tick(instant aNow, poison_table const& aTable)
{
  for (auto next = mAsking.begin(); next != mAsking.end();) {
    bool const isOver = Wake(aNow, next->second, aTable);
    next = isOver ? mAsking.erase(next) : std::next(next);
  }
}

std::optional<instant>
permit_client::NextWake() const
{
  std::optional<instant> next;
  for (auto const& [request, asking] : mAsking)
    next = std::min(next.value_or(asking.mWakeAt), asking.mWakeAt);
  return next;
}

std::vector<permit_request>
permit_client::TakeAsks()
{
  return std::exchange(mAsks, {});
}

std::vector<permit_return>
permit_client::TakeEnds()
{
  return std::exchange(mEnds, {});
}

std::vector<crash_report>
permit_client::TakeReports()
{
  return std::exchange(mReports, {});
}

std::vector<run_decision>
permit_client::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

void
permit_client::Ask(instant aNow, asking_request& aAsking)
{
  aAsking.mIsAnswered = false;
  aAsking.mWakeAt =
    std::min(aNow + mTiming.mAskTimeout, aAsking.mRequest.mDeadline);
  mAsks.push_back(aAsking.mRequest.mAsk);
}

void
permit_client::Decide(run_request const& aRequest,
                      std::optional<server_identity> aServer)
{
  permit_request running = aRequest.mAsk;
  if (aServer) {
    running.mServer = *aServer;
    mRunning.insert_or_assign(running.mRequest, running);
  } else {
    // The home may have granted a permit whose answer was lost.
    mEnds.push_back(
      { .mRequest = running.mRequest, .mFingerprint = running.mFingerprint });
  }
  mDecisions.push_back(
    { .mRequest = running.mRequest, .mServer = std::move(aServer) });
}

bool
permit_client::Wake(instant aNow,
                    asking_request& aAsking,
                    poison_table const& aTable)
{
  if (aNow < aAsking.mWakeAt)
    return false;
  run_request const& request = aAsking.mRequest;
  bool const isSuspect =
    !aTable.Crashes(aNow, request.mAsk.mFingerprint).empty();
  if (aNow >= request.mDeadline) {
    Decide(request, std::nullopt);
    return true;
  }
  if (!aAsking.mIsAnswered && !isSuspect) {
    // No home answers. The fallback server is where all such runs go, so they
    // cost that one server at the most.
    Decide(request, request.mFallback);
    return true;
  }
  Ask(aNow, aAsking);
  return false;
}

}
