#pragma once

#include <pistache/transport.h>

#include <functional>
#include <mutex>

namespace lycheeseam {

/// Wakes a Pistache worker from another thread.
///
/// A worker offers no hook for foreign work, but it runs timers: this arms a
/// timer far ahead and, on a wake, sets it to fire at once. The callback runs
/// on the worker's own thread, the only one that may write to its callers.
class worker_wake
{
public:
  worker_wake() = default;
  worker_wake(worker_wake const&) = delete;
  worker_wake& operator=(worker_wake const&) = delete;
  ~worker_wake();

  /// Arms the timer on the worker's transport; called on its thread, once.
  void Start(Pistache::Tcp::Transport& aTransport,
             std::function<void()> aCallback);

  /// Runs the callback soon on the worker's thread; safe from any thread.
  void Wake();

private:
  void Arm();
  void OnTimer();

  Pistache::Tcp::Transport* mTransport = nullptr;
  std::function<void()> mCallback;
  std::mutex mMutex;
  int mTimer = -1;
  bool mIsPending = false;
};

}
