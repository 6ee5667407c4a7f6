#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibControl/CallState.h>
#include <LibControl/ControlMessage.h>
#include <LibControl/ControlPorts.h>
#include <LibRequest/DecideRoute.h>

#include <cassert>
#include <memory>
#include <unordered_map>

namespace lycheeseam {

/// Takes each call from its arrival to its end: decides, starts attempts,
/// and answers what no backend server answers. Runs on the control thread.
template<control_ports Ports>
class request_director
{
public:
  explicit request_director(Ports& aPorts)
    : mPorts(aPorts)
  {
  }

  /// Takes the tables that decisions are made from.
  void SetTables(std::shared_ptr<config_tables const> aTables)
  {
    mTables = std::move(aTables);
  }

  /// The calls that have no answer yet.
  [[nodiscard]] std::size_t OpenCalls() const { return mCalls.size(); }

  void Handle(call_opened aOpened)
  {
    call_number const call = aOpened.mRequest.mCall;
    route_decision decision = DecideRoute(*mTables, aOpened.mRequest);
    if (refusal const* const refused = std::get_if<refusal>(&decision)) {
      Refuse(call, *refused);
      return;
    }
    auto const [place, isNew] = mCalls.emplace(
      call,
      call_state{ .mRequest = std::move(aOpened.mRequest),
                  .mAdmitted = std::get<admitted_route>(std::move(decision)) });
    assert(isNew);
    Dispatch(place->second);
  }

  void Handle(caller_gone aGone)
  {
    if (mCalls.erase(aGone.mCall) != 0)
      mPorts.PostUpstream(cancel_transfer{ .mCall = aGone.mCall });
  }

  void Handle(upstream_end aEnd)
  {
    auto const found = mCalls.find(aEnd.mCall);
    if (found == mCalls.end() || found->second.mAttempt != aEnd.mAttempt)
      return;
    if (aEnd.mFailure != transfer_failure::None)
      Refuse(aEnd.mCall, RefusalFor(aEnd));
    else if (aEnd.mForwardedBytes > 0)
      mPorts.PostFront(front_end{ .mCall = aEnd.mCall });
    else
      PassOn(std::move(aEnd));
    mCalls.erase(found);
  }

private:
  void Dispatch(call_state& aCall)
  {
    std::vector<backend_server> const& servers = aCall.mAdmitted.mPool.mServers;
    if (servers.empty()) {
      refusal const none{ .mCode = refusal_code::NoBackendServer,
                          .mMessage = "the pool has no backend server" };
      call_number const call = aCall.mRequest.mCall;
      Refuse(call, none);
      mCalls.erase(call);
      return;
    }
    aCall.mServer = servers[mNextServer++ % servers.size()];
    aCall.mAttempt = aCall.mAttempt.Next();
    mPorts.PostUpstream(MakeUpstreamRequest(aCall));
  }

  static upstream_request MakeUpstreamRequest(call_state const& aCall)
  {
    caller_request const& request = aCall.mRequest;
    return upstream_request{
      .mCall = request.mCall,
      .mAttempt = aCall.mAttempt,
      .mServer = aCall.mServer.mAddress,
      .mMethod = request.mMethod,
      .mTarget = request.mTarget,
      .mHeaders = request.mHeaders,
      .mBody = request.mBody,
      .mFirstByteTimeout = aCall.mAdmitted.mRoute.mFirstByteTimeout,
    };
  }

  static refusal RefusalFor(upstream_end const& aEnd)
  {
    bool const isTimeout = aEnd.mFailure == transfer_failure::FirstByteTimeout;
    return refusal{ .mCode = isTimeout ? refusal_code::BackendTimeout
                                       : refusal_code::BackendFailed,
                    .mVerdict = aEnd.mVerdict,
                    .mMessage = "the backend server gave no complete answer" };
  }

  void Refuse(call_number aCall, refusal aRefusal)
  {
    mPorts.PostFront(
      front_refusal{ .mCall = aCall, .mRefusal = std::move(aRefusal) });
  }

  void PassOn(upstream_end aEnd)
  {
    mPorts.PostFront(front_answer{ .mCall = aEnd.mCall,
                                   .mStatus = aEnd.mStatus,
                                   .mContentType = std::move(aEnd.mContentType),
                                   .mBody = std::move(aEnd.mBody) });
  }

  Ports& mPorts;
  std::shared_ptr<config_tables const> mTables =
    std::make_shared<config_tables const>();
  std::unordered_map<call_number, call_state> mCalls;
  std::size_t mNextServer = 0;
};

}
