#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <memory>
#include <thread>
#include <type_traits>
#include <utility>

namespace lycheeseam {

/// The single thread that owns the control state. All control work runs inside
/// its io_context; other threads reach it by posting to the context. An error
/// that posted work doesn't catch is logged and ends that work only.
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

  /// Runs work on the thread; returns its result or throws what it throws. Must
  /// not be called on the thread itself.
  template<typename Work>
  std::invoke_result_t<Work> Invoke(Work aWork)
  {
    using task = std::packaged_task<std::invoke_result_t<Work>()>;
    std::shared_ptr<task> const shared =
      std::make_shared<task>(std::move(aWork));
    std::future<std::invoke_result_t<Work>> done = shared->get_future();
    boost::asio::post(mContext, [shared]() { (*shared)(); });
    return done.get();
  }

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
