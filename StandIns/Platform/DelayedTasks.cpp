#include "DelayedTasks.h"

namespace lycheeseam::standin {

delayed_tasks::delayed_tasks()
  : mThread([this]() { Run(); })
{
}

delayed_tasks::~delayed_tasks()
{
  {
    std::lock_guard const lock{ mMutex };
    mIsStopping = true;
  }
  mChanged.notify_one();
  mThread.join();
}

void
delayed_tasks::RunAfter(duration aDelay, std::function<void()> aTask)
{
  {
    std::lock_guard const lock{ mMutex };
    mTasks.emplace(std::chrono::steady_clock::now() + aDelay, std::move(aTask));
  }
  mChanged.notify_one();
}

void
delayed_tasks::Run()
{
  std::unique_lock lock{ mMutex };
  while (!mIsStopping) {
    if (mTasks.empty()) {
      mChanged.wait(lock);
      continue;
    }
    auto const next = mTasks.begin();
    if (next->first > std::chrono::steady_clock::now()) {
      // Copied, because the task may have been removed when the wait returns.
      std::chrono::steady_clock::time_point const due = next->first;
      mChanged.wait_until(lock, due);
      continue;
    }
    std::function<void()> const task = std::move(next->second);
    mTasks.erase(next);
    lock.unlock();
    task();
    lock.lock();
  }
}

}
