#pragma once

#include <LibCore/SystemClock.h>
#include <LibDispatch/ChooseServer.h>
#include <LibGateway/AnswerRelay.h>
#include <LibGateway/AttemptRequest.h>
#include <LibGateway/GatewayDialect.h>
#include <LibGateway/PlanSend.h>
#include <LibGateway/RunTrace.h>
#include <LibGateway/ServerPick.h>
#include <LibGateway/TrafficCore.h>
#include <LibHttp/FormatHead.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Chooses the servers of one request, each at most once, and prepares what
/// each is sent.
template<gateway_dialect Dialect>
class request_sender
{
public:
  request_sender(traffic_core& aCore, request_head aHead, std::string aBody)
    : mCore(aCore)
    , mHead(std::move(aHead))
    , mBody(std::make_shared<std::string const>(std::move(aBody)))
  {
  }

  /// Reads the properties from the head; throws invalid_input when it is
  /// invalid.
  void ReadProperties() { mProperties = Dialect::ReadProperties(mHead); }

  [[nodiscard]] request_properties const& Properties() const noexcept
  {
    return mProperties;
  }
  [[nodiscard]] std::string const& Body() const noexcept { return *mBody; }

  /// Chooses the best server now; mServer is null when there is none.
  /// aAnswer is what the caller has been sent so far.
  [[nodiscard]] server_pick Pick(instant aNow,
                                 admitted_request const& aAdmitted,
                                 answer_relay const& aAnswer)
  {
    // A stream of which the caller has nothing yet may begin elsewhere.
    bool const isBound = aAnswer.IsHeadSent() || aAdmitted.mSoftware;
    allowed_software const allowed = Allowed(aNow, aAdmitted, isBound);
    bool const isForTarget = allowed.mRule == software_rule::TargetOnly;
    server_pick pick = PickOf(aNow, aAdmitted, Software(aAdmitted), allowed);
    if (!pick.mServer && !pick.mSendAt && !isBound && mSoftware)
      pick = PickOf(aNow, aAdmitted, std::nullopt, allowed);
    // The target of a rollout has no server that takes the request.
    if (!pick.mServer && !isBound && isForTarget)
      return PickOf(aNow,
                    aAdmitted,
                    std::nullopt,
                    mCore.Rollouts().ChooseRepeat(aNow, aAdmitted.mPool));
    return pick;
  }

  /// Prepares what the server is sent. aLastEventId is the last event that the
  /// caller was sent of an answer that another server began.
  attempt_request Prepare(server_pick const& aPick,
                          admitted_request const& aAdmitted,
                          run_trace& aTrace,
                          std::optional<std::uint64_t> aLastEventId)
  {
    tracked_server const& server = *aPick.mServer;
    mTried.push_back(server.mRegistered.mId);
    if (aAdmitted.mRoute->mIsResumable)
      OnStreamSent(aPick.mChoiceRequest.mNow, server);
    mCore.Meter().OnSend(aAdmitted, aTrace.mSends > 0);
    mCore.Probes().OnSent(aAdmitted.mPool);
    ++aTrace.mSends;
    aTrace.mCrossing = aPick.mCrossing;
    if (aPick.mCrossing != crossing_reason::None)
      mCore.Meter().OnCrossing(aPick.mCrossing);
    send_parameters const parameters = PlanSend(mCore,
                                                aPick.mChoiceRequest,
                                                server,
                                                aAdmitted,
                                                mProperties,
                                                aLastEventId);
    aTrace.mFetchFrom = parameters.mFetchFrom;
    aTrace.mPressure = server.Pressure(aPick.mChoiceRequest.mNow);
    aTrace.mLoad = server.Estimate(aPick.mChoiceRequest.mNow);
    mCore.Meter().OnLoadUsed(aPick.mChoiceRequest.mNow, server.mLoad);
    request_head head = Dialect::ForwardedRequest(mHead, parameters);
    if (!mBody->empty() || mHead.mMethod != "GET")
      head.mFields.push_back(
        { "Content-Length", std::to_string(mBody->size()) });
    if (mCore.Rollouts().IsRunning(aAdmitted.mPool))
      mCore.Meter().OnRolloutSend(server.mRegistered);
    return { .mHead = FormatRequestHead(head),
             .mBody = mBody,
             .mAnswerHasBody = mHead.mMethod != "HEAD",
             .mTokens = RequestTokens(mProperties),
             .mPromptTokens = mProperties.mPromptTokens.value_or(0),
             .mPrefixes = MakePrefixHolders(parameters),
             .mPartCrashes = mCore.Suspects().Evidence(aAdmitted.mParts),
             .mObserved =
               mCore.Rollouts().OnSent(aPick.mChoiceRequest.mNow,
                                       server,
                                       *aAdmitted.mRoute,
                                       Uncached(server, parameters)) };
  }

private:
  server_pick PickOf(instant aNow,
                     admitted_request const& aAdmitted,
                     std::optional<software_version> const& aSoftware,
                     allowed_software const& aAllowed)
  {
    server_pick pick{ .mView = mCore.View(aNow) };
    pick.mChoiceRequest = MakeChoiceRequest(
      aNow, mCore.Options(), *pick.mView, mProperties, mTried);
    pick.mChoiceRequest.mSoftware = aSoftware;
    pick.mChoiceRequest.mPriority =
      RequestPriority(*aAdmitted.mRoute, aAdmitted.mWorkspace);
    pick.mChoiceRequest.mBytes = CrossingBytes(mProperties, *mBody);
    pick.mChoiceRequest.mAllowedSoftware = aAllowed;
    std::vector<tracked_server*> kept;
    std::span<tracked_server* const> const servers = traffic_rollouts::Restrict(
      mCore.Servers().Pool(aAdmitted.mPool), aAllowed, kept);
    server_choice const choice =
      Place(aAdmitted.mPool, servers, pick.mChoiceRequest);
    pick.mCrossing = choice.mCrossing;
    if (choice.mServer != nullptr)
      pick.mServer = mCore.Servers().Find(choice.mServer->mRegistered.mId);
    else
      pick.mSendAt = FirstSendAt(servers, pick.mChoiceRequest);
    // It refers to data that the next view may change.
    pick.mChoiceRequest.mAllowedSoftware = {};
    return pick;
  }

  server_choice Place(pool_name const& aPool,
                      std::span<tracked_server* const> aServers,
                      server_choice_request const& aRequest)
  {
    if (mCore.Servers().IsAdaptive(aRequest.mNow, aPool))
      return mCore.Placement().Choose(aPool, aServers, aRequest);
    return { .mServer = ChooseServer(aServers, aRequest) };
  }

  // The software that a rollout of the pool allows for the next attempt. A
  // request that failed on the target goes to other software.
  allowed_software Allowed(instant aNow,
                           admitted_request const& aAdmitted,
                           bool aIsBound)
  {
    traffic_rollouts& rollouts = mCore.Rollouts();
    mCore.View(aNow);
    bool const isFirst = !std::exchange(mIsChosen, true);
    std::optional<software_version> const& software = Software(aAdmitted);
    if (aIsBound && software)
      return rollouts.ChooseResumption(aNow, aAdmitted.mPool, *software);
    return isFirst
             ? rollouts.Choose(aNow, aAdmitted.mPool, mProperties.mId.Text())
             : rollouts.ChooseRepeat(aNow, aAdmitted.mPool);
  }

  // The tokens of the prompt that the server has to read.
  [[nodiscard]] token_count Uncached(tracked_server const& aServer,
                                     send_parameters const& aParameters) const
  {
    token_count const tokens = mProperties.mPromptTokens.value_or(0);
    bool const isCached =
      !aParameters.mPrefixKeys.empty() &&
      mCore.Prefixes().Holder(mClock.Now(), aParameters.mPrefixKeys.back()) ==
        aServer.mRegistered.mId;
    token_count const cached = isCached ? mProperties.SharedTokens() : 0;
    return tokens - std::min(tokens, cached);
  }

  // The only software that may run the request; empty when any may.
  [[nodiscard]] std::optional<software_version> const& Software(
    admitted_request const& aAdmitted) const
  {
    return aAdmitted.mSoftware ? aAdmitted.mSoftware : mSoftware;
  }

  // Later servers, and those of callers that resume the stream, must run the
  // same software.
  void OnStreamSent(instant aNow, tracked_server const& aServer)
  {
    mSoftware = aServer.mRegistered.mSoftware;
    mCore.Origins().OnSent(
      aNow,
      { .mStream = stream_origins::Key(mProperties.StreamId()),
        .mSoftware = *mSoftware });
  }

  traffic_core& mCore;
  system_clock mClock;
  request_head mHead;
  std::shared_ptr<std::string const> mBody;
  request_properties mProperties;
  std::vector<backend_server_id> mTried;
  /// True once software was chosen for the request.
  bool mIsChosen = false;
  /// The software of the latest server of a resumable stream.
  std::optional<software_version> mSoftware;
};

}
