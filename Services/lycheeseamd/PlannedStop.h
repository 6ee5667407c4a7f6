#pragma once

#include <LibCore/SystemClock.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <future>
#include <optional>

namespace lycheeseam {

/// Stops a gateway as planned: drains it, closes it to new connections, refuses
/// late requests, and waits until it is idle or the stop time ends. Runs on the
/// thread of its io_context.
template<typename Gateway>
class planned_stop
{
public:
  planned_stop(boost::asio::io_context& aContext,
               Gateway& aGateway,
               std::chrono::milliseconds aStopTime)
    : mGateway(aGateway)
    , mStopTime(aStopTime)
    , mTimer(aContext)
  {
  }

  /// Starts the stop; called on the context's thread. The future is ready when
  /// the gateway is idle or the stop time has ended.
  std::future<void> Begin()
  {
    mGateway.StartDraining();
    mBeganAt = mClock.Now();
    Check();
    return mDone.get_future();
  }

private:
  // Callers that cache an earlier list of addresses still connect for this
  // long.
  static constexpr std::chrono::milliseconds kAcceptTime{ 2'500 };
  // An idle gateway stops no earlier than this, and requests that arrive later
  // are refused: the stop might cut them off. It exceeds kAcceptTime, so the
  // gateway is closed to new connections by then.
  static constexpr std::chrono::milliseconds kMinStopTime{ 3'000 };
  // Requests that still run get their final answers this long before the
  // platform kills the process.
  static constexpr std::chrono::milliseconds kKillMargin{ 400 };
  // Peers that are cut off from the servers may have no other path while
  // several instances stop at a time, so tunnels are opened until this long
  // before the end, which most requests need.
  static constexpr std::chrono::milliseconds kTunnelMargin{ 2'500 };
  // Time to write these answers.
  static constexpr std::chrono::milliseconds kFlushTime{ 100 };
  static constexpr std::chrono::milliseconds kCheckInterval{ 50 };

  void Check()
  {
    duration const elapsed = mClock.Now() - *mBeganAt;
    bool const isDone = elapsed >= kMinStopTime && mGateway.IsIdle();
    if (isDone)
      return mDone.set_value();
    if (elapsed >= mStopTime - kKillMargin)
      return EndRequests();
    if (elapsed >= kAcceptTime)
      mGateway.Close();
    if (elapsed >= kMinStopTime)
      mGateway.RefuseRequests();
    if (elapsed >= mStopTime - kTunnelMargin)
      mGateway.RefuseTunnels();
    mTimer.expires_after(kCheckInterval);
    mTimer.async_wait([this](boost::system::error_code aFault) {
      if (!aFault)
        Check();
    });
  }

  void EndRequests()
  {
    mGateway.EndRequests();
    mTimer.expires_after(kFlushTime);
    mTimer.async_wait([this](boost::system::error_code) { mDone.set_value(); });
  }

  Gateway& mGateway;
  std::chrono::milliseconds mStopTime;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  std::optional<instant> mBeganAt;
  std::promise<void> mDone;
};

}
