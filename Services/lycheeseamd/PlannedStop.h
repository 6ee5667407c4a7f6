#pragma once

#include <LibCore/SystemClock.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <future>
#include <optional>

namespace lycheeseam {

/// A planned stop: serves what comes until nothing runs.
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

  /// Begins on the context's thread; the future is ready when all is done.
  std::future<void> Begin()
  {
    mGateway.StartDraining();
    mBeganAt = mClock.Now();
    Check();
    return mDone.get_future();
  }

private:
  // Callers that keep an old answer for addresses still come this long.
  static constexpr std::chrono::milliseconds kCloseTime{ 2'500 };
  static constexpr std::chrono::milliseconds kLeastTime{ 3'000 };
  // The end comes before the platform ends the process.
  static constexpr std::chrono::milliseconds kMargin{ 300 };
  static constexpr std::chrono::milliseconds kInterval{ 50 };

  void Check()
  {
    duration const passed = mClock.Now() - *mBeganAt;
    bool const isDone = passed >= kLeastTime && mGateway.IsIdle();
    if (isDone || passed >= mStopTime - kMargin)
      return mDone.set_value();
    if (passed >= kCloseTime)
      mGateway.Close();
    mTimer.expires_after(kInterval);
    mTimer.async_wait([this](boost::system::error_code aFault) {
      if (!aFault)
        Check();
    });
  }

  Gateway& mGateway;
  std::chrono::milliseconds mStopTime;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  std::optional<instant> mBeganAt;
  std::promise<void> mDone;
};

}
