#pragma once

#include <pistache/transport.h>

#include <functional>
#include <mutex>

namespace lycheeseam {

/// Wakes a Pistache worker from another thread.
///
/// A worker can't be given work from another thread, but it runs timers. This
/// class arms a timer with a long delay and, on a wake, makes it fire at once.
/// The callback runs on the worker's own thread, the only one that may write to
/// its callers.
class worker_wake
{
public:
  worker_wake() = default;
  worker_wake(worker_wake const&) = delete;
  worker_wake& operator=(worker_wake const&) = delete;
  ~worker_wake();

  /// Arms the timer on the worker's transport; called once, on the worker's
  /// thread. Throws error when there are no file descriptors left.
  void Start(Pistache::Tcp::Transport& aTransport,
             std::function<void()> aCallback);

  /// Makes the worker's thread run the callback; safe from any thread.
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
