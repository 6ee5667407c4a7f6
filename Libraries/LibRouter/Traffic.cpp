#include <LibOpenAi/FormatModels.h>
#include <LibRouter/Traffic.h>

namespace lycheeseam {

namespace {

front_options
FrontOptionsOf(daemon_settings const& aSettings, std::string aRequestIdPrefix)
{
  return front_options{
    .mListen = aSettings.mListen.mCallers,
    .mWorkers = static_cast<int>(aSettings.mThreads.mFrontWorkers),
    .mMaxRequestBytes = aSettings.mLimits.mMaxBodyBytes,
    .mMaxUnsentBytes = aSettings.mLimits.mMaxStreamQueueBytes,
    .mRequestIdPrefix = std::move(aRequestIdPrefix),
  };
}

call_number
CallOf(upstream_command const& aCommand)
{
  return std::visit([](auto const& aAny) { return aAny.mCall; }, aCommand);
}

}

traffic::traffic(daemon_settings const& aSettings,
                 std::string aRequestIdPrefix,
                 control_inbox& aInbox,
                 published<config_tables> const& aTables,
                 published<std::string> const& aInstancesBody)
  : mFrontOptions(FrontOptionsOf(aSettings, std::move(aRequestIdPrefix)))
  , mInbox(aInbox)
  , mTables(aTables)
  , mInstancesBody(aInstancesBody)
{
  for (std::uint32_t i = 0; i < aSettings.mThreads.mUpstreamLoops; ++i)
    mLoops.push_back(std::make_unique<upstream_loop<traffic>>(*this));
}

// The upstream loops end first, because they post to the front server.
traffic::~traffic()
{
  mLoops.clear();
  mFront.reset();
}

void
traffic::Open()
{
  mFront = std::make_unique<front_server<traffic>>(*this, mFrontOptions);
}

void
traffic::PostFront(front_message aMessage)
{
  mFront->Post(std::move(aMessage));
}

void
traffic::PostUpstream(upstream_command aCommand)
{
  std::size_t const index = CallOf(aCommand).Value() % mLoops.size();
  mLoops[index]->Post(std::move(aCommand));
}

void
traffic::OnCall(caller_request aRequest)
{
  mInbox.Post(call_opened{ .mRequest = std::move(aRequest) });
}

void
traffic::OnCallerDisconnected(call_number aCall)
{
  mInbox.Post(caller_disconnected{ .mCall = aCall });
}

void
traffic::OnPace(call_number aCall, caller_pace aPace)
{
  transfer_flow const flow =
    aPace == caller_pace::Slow ? transfer_flow::Paused : transfer_flow::Flowing;
  PostUpstream(set_transfer_flow{ .mCall = aCall, .mFlow = flow });
}

std::string
traffic::ModelsBody()
{
  return FormatModels(*mTables.Current());
}

std::string
traffic::InstancesBody()
{
  return *mInstancesBody.Current();
}

void
traffic::OnHead(upstream_head aHead)
{
  PostFront(front_head{ .mCall = aHead.mCall,
                        .mStatus = aHead.mStatus,
                        .mContentType = std::move(aHead.mContentType) });
}

void
traffic::OnPiece(upstream_piece aPiece)
{
  PostFront(
    front_piece{ .mCall = aPiece.mCall, .mBytes = std::move(aPiece.mBytes) });
}

void
traffic::OnEnd(upstream_end aEnd)
{
  mInbox.Post(std::move(aEnd));
}

}
