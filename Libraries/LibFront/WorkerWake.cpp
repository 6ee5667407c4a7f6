#include <LibCore/Error.h>
#include <LibFront/WorkerWake.h>

#include <sys/timerfd.h>
#include <unistd.h>

#include <chrono>

namespace lycheeseam {

namespace {

// Without a wake, the timer fires after this delay; the callback then runs once
// and the timer is armed again.
constexpr std::chrono::hours kIdleDelay{ 1 };
// Not 0, which would disarm the timer.
constexpr long kMinDelayNanoseconds = 1;

void
FireNow(int aTimer)
{
  itimerspec const immediate{ .it_interval = {},
                              .it_value = { .tv_sec = 0,
                                            .tv_nsec = kMinDelayNanoseconds } };
  timerfd_settime(aTimer, 0, &immediate, nullptr);
}

}

worker_wake::~worker_wake()
{
  if (mTimer >= 0)
    close(mTimer);
}

void
worker_wake::Start(Pistache::Tcp::Transport& aTransport,
                   std::function<void()> aCallback)
{
  mTransport = &aTransport;
  mCallback = std::move(aCallback);
  Arm();
}

void
worker_wake::Wake()
{
  std::lock_guard const lock{ mMutex };
  if (mTimer < 0) {
    // The worker hasn't started yet; Arm carries out the pending wake.
    mIsPending = true;
    return;
  }
  FireNow(mTimer);
}

// Pistache can't arm a timer again once it has fired, since the worker's poller
// keeps its registration. So each wake creates a new timer and closes the old
// one.
void
worker_wake::Arm()
{
  int const timer = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (timer < 0)
    throw error(
      "can't create the timer of a front worker: no file descriptors left");
  Pistache::Async::Promise<std::uint64_t> fired(
    [this, timer](Pistache::Async::Deferred<std::uint64_t> aDeferred) {
      mTransport->armTimer(timer, kIdleDelay, std::move(aDeferred));
    });
  fired.then([this](std::uint64_t) { OnTimer(); },
             [](std::exception_ptr const&) {});
  std::lock_guard const lock{ mMutex };
  int const old = mTimer;
  mTimer = timer;
  if (old >= 0)
    close(old);
  if (mIsPending)
    FireNow(mTimer);
  mIsPending = false;
}

void
worker_wake::OnTimer()
{
  Arm();
  mCallback();
}

}
