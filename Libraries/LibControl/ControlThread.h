#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace lycheeseam {

/// The one thread that holds control state. All of it runs inside this
/// io_context; other threads reach it by posting.
class control_thread
{
public:
  control_thread();
  control_thread(control_thread const&) = delete;
  control_thread& operator=(control_thread const&) = delete;

  /// Stops the thread and joins it.
  ~control_thread();

  /// Where control's work is posted, and its timers and links live.
  [[nodiscard]] boost::asio::io_context& Context() noexcept { return mContext; }

  /// Runs no more work; returns when the thread has ended.
  void Stop();

private:
  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::thread mThread;
};

}
