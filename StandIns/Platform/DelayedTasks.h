#pragma once

#include <LibCore/Instant.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace lycheeseam::standin {

/// Runs each task after its delay on a thread of its own. The destructor drops
/// the tasks that are not due yet.
class delayed_tasks
{
public:
  delayed_tasks();
  ~delayed_tasks();
  delayed_tasks(delayed_tasks const&) = delete;
  delayed_tasks& operator=(delayed_tasks const&) = delete;

  /// Runs a task after a delay; safe from any thread.
  void RunAfter(duration aDelay, std::function<void()> aTask);

private:
  void Run();

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>>
    mTasks;
  bool mIsStopping = false;
  std::thread mThread;
};

}
