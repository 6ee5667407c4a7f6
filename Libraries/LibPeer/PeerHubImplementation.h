#pragma once

#include <LibCore/Error.h>
#include <LibPeer/PeerHub.h>

#include <boost/asio/ip/address.hpp>

#include <utility>
#include <vector>

/// \file The members of peer_hub that open, supervise and close links.

namespace lycheeseam {

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
peer_hub<Handler, Supervisor, Clock>::peer_hub(
  boost::asio::io_context& aContext,
  peer_hub_options aOptions,
  peer_hello aSelf,
  Handler& aHandler,
  make_supervisor aMakeSupervisor,
  make_heartbeat aMakeHeartbeat,
  Clock aClock)
  : mContext(aContext)
  , mOptions(aOptions)
  , mSelf(std::move(aSelf))
  , mHandler(aHandler)
  , mMakeSupervisor(std::move(aMakeSupervisor))
  , mMakeHeartbeat(std::move(aMakeHeartbeat))
  , mClock(aClock)
  , mAcceptor(aContext)
  , mTimer(aContext)
  , mDials(aOptions.mDial, aOptions.mSeed)
  , mTable(mSelf.mIdentity)
{
  // Checked here, where a handler that holds its hub is a complete type.
  static_assert(peer_handler<Handler>);
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
peer_hub<Handler, Supervisor, Clock>::~peer_hub()
{
  for (auto& [number, state] : mLinks)
    state.mConnection->Detach();
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::Listen(endpoint const& aAddress)
{
  tcp::endpoint const address{ boost::asio::ip::make_address(aAddress.mAddress),
                               aAddress.mPort };
  try {
    mAcceptor.open(address.protocol());
    mAcceptor.set_option(tcp::acceptor::reuse_address{ true });
    mAcceptor.bind(address);
    mAcceptor.listen();
  } catch (boost::system::system_error const& failure) {
    throw error("can't listen on " + aAddress.Text() + ": " + failure.what());
  }
  Accept();
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::Start()
{
  Tick();
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::SetPeers(
  std::span<peer_contact const> aContacts)
{
  mDials.SetPeers(aContacts);
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::Stop()
{
  boost::system::error_code ignored;
  mAcceptor.close(ignored);
  mTimer.cancel();
  std::vector<link_number> links;
  for (auto const& [number, state] : mLinks)
    links.push_back(number);
  for (link_number const link : links)
    CloseLink(link, link_close_reason::Stopped);
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
std::uint16_t
peer_hub<Handler, Supervisor, Clock>::Port() const
{
  return mAcceptor.is_open() ? mAcceptor.local_endpoint().port() : 0;
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::Accept()
{
  mAcceptor.async_accept([this](boost::system::error_code aError,
                                tcp::socket aSocket) {
    if (!mAcceptor.is_open() || aError == boost::asio::error::operation_aborted)
      return;
    if (!aError) {
      ++mCounters.mAccepted;
      AddLink(std::move(aSocket), link_direction::Accepted, std::nullopt);
    }
    Accept();
  });
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::Tick()
{
  instant const now = mClock.Now();
  DialDue(now);
  CheckLinks(now);
  mTimer.expires_after(mOptions.mTick);
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError)
      Tick();
  });
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::DialDue(instant aNow)
{
  for (peer_contact const& contact : mDials.TakeDue(aNow)) {
    if (IsLinkedTo(contact)) {
      // Checked again after the shortest backoff, in case that link closes.
      mDials.OnUp(contact.mAddress);
      mDials.OnClosed(contact.mAddress, aNow);
      continue;
    }
    ++mCounters.mDialled;
    AddLink(tcp::socket{ mContext }, link_direction::Dialled, contact.mAddress);
  }
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::CheckLinks(instant aNow)
{
  // Closing a link changes the map, so the numbers are collected first.
  std::vector<link_number> unresponsive;
  std::vector<link_number> withoutHello;
  for (auto& [number, state] : mLinks) {
    if (!state.mPeer) {
      if (aNow - state.mOpenedAt >= mOptions.mHelloTimeout)
        withoutHello.push_back(number);
      continue;
    }
    link_check const check = state.mSupervisor.Check(aNow);
    if (check == link_check::Dead)
      unresponsive.push_back(number);
    if (check != link_check::Heartbeat && check != link_check::Ping)
      continue;
    SendHeartbeat(number,
                  state,
                  check == link_check::Ping ? heartbeat_answer::Wanted
                                            : heartbeat_answer::NotWanted);
  }
  for (link_number const link : withoutHello)
    CloseLink(link, link_close_reason::HelloTimeout);
  for (link_number const link : unresponsive)
    CloseLink(link, link_close_reason::Unresponsive);
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::AddLink(tcp::socket aSocket,
                                              link_direction aDirection,
                                              std::optional<endpoint> aDialled)
{
  link_number const number{ mNextLink++ };
  instant const now = mClock.Now();
  std::shared_ptr<connection> const added =
    std::make_shared<connection>(std::move(aSocket),
                                 number,
                                 mOptions.mMaxFrameBytes,
                                 mOptions.mMaxQueueBytes,
                                 *this);
  mLinks.emplace(number,
                 link_state{ .mConnection = added,
                             .mDirection = aDirection,
                             .mDialled = aDialled,
                             .mOpenedAt = now,
                             .mPeer = std::nullopt,
                             .mPeerSentAt = std::nullopt,
                             .mSupervisor = mMakeSupervisor(now) });
  if (!aDialled)
    return added->Start();
  added->Dial(
    { boost::asio::ip::make_address(aDialled->mAddress), aDialled->mPort });
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::CloseLink(link_number aLink,
                                                link_close_reason aReason)
{
  auto const found = mLinks.find(aLink);
  if (found == mLinks.end())
    return;
  std::shared_ptr<connection> const closing = found->second.mConnection;
  closing->Close(aReason);
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::Release(instance_id const& aPeer)
{
  if (std::optional<link_number> const link = mTable.Find(aPeer))
    CloseLink(*link, link_close_reason::Released);
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
void
peer_hub<Handler, Supervisor, Clock>::OnConnectionClosed(
  link_number aLink,
  link_close_reason aReason)
{
  ++mCounters.mClosed[static_cast<std::size_t>(aReason)];
  auto const found = mLinks.find(aLink);
  if (found == mLinks.end())
    return;
  if (found->second.mDialled)
    mDials.OnClosed(*found->second.mDialled, mClock.Now());
  mLinks.erase(found);
  std::erase_if(mLinkByAddress,
                [aLink](auto const& aEntry) { return aEntry.second == aLink; });
  std::optional<instance_identity> const ended = mTable.OnClosed(aLink);
  if (ended)
    mHandler.OnPeerDown(*ended, aReason);
}

template<typename Handler, link_supervisor Supervisor, clock_source Clock>
bool
peer_hub<Handler, Supervisor, Clock>::IsLinkedTo(
  peer_contact const& aContact) const
{
  if (!aContact.mInstance.IsEmpty() && mTable.Find(aContact.mInstance))
    return true;
  return mLinkByAddress.contains(aContact.mAddress);
}

}
