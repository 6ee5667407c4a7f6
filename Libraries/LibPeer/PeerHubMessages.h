#pragma once

#include <LibPeer/PeerHub.h>

#include <utility>
#include <variant>

/// \file The members of peer_hub that send and receive messages.

namespace lycheeseam {

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
send_result
peer_hub<Handler, Supervisor, Clock>::Send(instance_id const& aPeer,
                                           peer_message const& aMessage)
{
  std::optional<link_number> const link = mTable.Find(aPeer);
  if (!link)
    return send_result::NotLinked;
  return SendFrame(*link, EncodePeerMessage(aMessage));
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::Broadcast(peer_message const& aMessage)
{
  encoded_frame const frame = EncodePeerMessage(aMessage);
  for (link_number const link : mTable.Links())
    SendFrame(link, frame);
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::Multicast(
  std::span<instance_id const> aPeers,
  peer_message const& aMessage)
{
  if (aPeers.empty())
    return;
  encoded_frame const frame = EncodePeerMessage(aMessage);
  for (instance_id const& peer : aPeers) {
    if (std::optional<link_number> const link = mTable.Find(peer))
      SendFrame(*link, frame);
  }
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::OnConnected(link_number aLink)
{
  SendFrame(aLink, EncodePeerMessage(mSelf));
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::OnFrame(
  link_number aLink,
  std::span<std::uint8_t const> aContent)
{
  ++mCounters.mFramesReceived;
  mCounters.mBytesReceived += aContent.size();
  auto const found = mLinks.find(aLink);
  if (found == mLinks.end())
    return;
  link_state& state = found->second;
  std::optional<peer_message> message = DecodePeerMessage(aContent);
  if (!message)
    return CloseLink(aLink, link_close_reason::MalformedFrame);
  peer_hello const* const hello = std::get_if<peer_hello>(&*message);
  bool const isExpected = (hello != nullptr) == !state.mPeer.has_value();
  if (!isExpected)
    return CloseLink(aLink, link_close_reason::UnexpectedMessage);
  // A supervisor that counts heartbeats alone needs what they carry to stay
  // fresh, so other messages on a busy link must not replace them.
  if (Supervisor::kCountsAllTraffic ||
      std::holds_alternative<peer_heartbeat>(*message))
    state.mSupervisor.OnReceived(mClock.Now());
  if (hello)
    return OnHello(aLink, state, *hello);
  OnMessage(aLink, state, *message);
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::OnHello(link_number aLink,
                                              link_state& aState,
                                              peer_hello const& aHello)
{
  hello_decision const decision =
    mTable.OnHello(aLink, aState.mDirection, aHello);
  if (decision.mRefused) {
    mHandler.OnHelloRefused(aHello, *decision.mRefused);
    return CloseLink(aLink, *decision.mRefused);
  }
  aState.mPeer = aHello.mIdentity;
  mLinkByAddress.insert_or_assign(aHello.mPeers, aLink);
  if (aState.mDialled)
    mDials.OnUp(*aState.mDialled);
  if (decision.mReplaced)
    CloseLink(*decision.mReplaced,
              decision.mIsNew ? link_close_reason::Superseded
                              : link_close_reason::Duplicate);
  if (decision.mEnded)
    mHandler.OnPeerDown(*decision.mEnded, link_close_reason::Superseded);
  if (decision.mIsNew)
    return mHandler.OnPeerUp(aHello);
  mHandler.OnLinkReplaced(aHello);
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::OnMessage(link_number aLink,
                                                link_state& aState,
                                                peer_message& aMessage)
{
  // The handler may close links, so the peer's identity is copied first.
  instance_identity const peer = *aState.mPeer;
  peer_heartbeat const* const heartbeat =
    std::get_if<peer_heartbeat>(&aMessage);
  if (heartbeat)
    aState.mPeerSentAt = heartbeat->mSentAt;
  if (heartbeat && heartbeat->mAnswer == heartbeat_answer::Wanted)
    SendHeartbeat(aLink, aState, heartbeat_answer::NotWanted);
  mHandler.OnPeerMessage(peer, aMessage);
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::SendHeartbeat(link_number aLink,
                                                    link_state const& aState,
                                                    heartbeat_answer aAnswer)
{
  peer_heartbeat heartbeat = mMakeHeartbeat();
  heartbeat.mAnswer = aAnswer;
  heartbeat.mSentAt = mClock.Now();
  heartbeat.mEcho = aState.mPeerSentAt;
  SendFrame(aLink, EncodePeerMessage(heartbeat));
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
send_result
peer_hub<Handler, Supervisor, Clock>::SendFrame(link_number aLink,
                                                encoded_frame const& aFrame)
{
  auto const found = mLinks.find(aLink);
  if (found == mLinks.end())
    return send_result::NotLinked;
  send_result const result = aFrame->size() > mOptions.mMaxFrameBytes
                               ? send_result::TooLarge
                               : found->second.mConnection->Send(aFrame);
  if (result != send_result::Queued) {
    ++mCounters.mDropped;
    return result;
  }
  ++mCounters.mFramesSent;
  mCounters.mBytesSent += aFrame->size();
  return result;
}

}
