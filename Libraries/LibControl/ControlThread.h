#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace lycheeseam {

/// The single thread that owns the control state. All control work runs inside
/// its io_context; other threads reach it by posting to the context.
class control_thread
{
public:
  control_thread();
  control_thread(control_thread const&) = delete;
  control_thread& operator=(control_thread const&) = delete;

  /// Stops the thread and joins it.
  ~control_thread();

  /// The context that runs control's work, timers and peer connections.
  [[nodiscard]] boost::asio::io_context& Context() noexcept { return mContext; }

  /// Stops running work; returns after the thread has ended.
  void Stop();

private:
  void Run();

  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::thread mThread;
};

}
