#include <LibCore/Error.h>
#include <LibFront/WorkerWake.h>

#include <sys/timerfd.h>
#include <unistd.h>

#include <chrono>

namespace lycheeseam {

namespace {

constexpr std::chrono::hours kFarAhead{ 1 };
constexpr long kAtOnceNanoseconds = 1;

void
FireAtOnce(int aTimer)
{
  itimerspec const soon{ .it_interval = {},
                         .it_value = { .tv_sec = 0,
                                       .tv_nsec = kAtOnceNanoseconds } };
  timerfd_settime(aTimer, 0, &soon, nullptr);
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
    // The worker hasn't started yet; Arm will find the wish.
    mIsPending = true;
    return;
  }
  FireAtOnce(mTimer);
}

// A timer that has fired can't be armed again: its registration with the
// worker's poller stays. Each round takes a new one and closes the old one.
void
worker_wake::Arm()
{
  int const timer = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (timer < 0)
    throw error("no timer for a front worker: out of file descriptors");
  Pistache::Async::Promise<std::uint64_t> fired(
    [this, timer](Pistache::Async::Deferred<std::uint64_t> aDeferred) {
      mTransport->armTimer(timer, kFarAhead, std::move(aDeferred));
    });
  fired.then([this](std::uint64_t) { OnTimer(); },
             [](std::exception_ptr const&) {});
  std::lock_guard const lock{ mMutex };
  int const old = mTimer;
  mTimer = timer;
  if (old >= 0)
    close(old);
  if (mIsPending)
    FireAtOnce(mTimer);
  mIsPending = false;
}

void
worker_wake::OnTimer()
{
  Arm();
  mCallback();
}

}
