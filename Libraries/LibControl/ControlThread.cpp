#include <LibControl/ControlThread.h>
#include <LibEvents/EventLog.h>

#include <exception>
#include <string>

namespace lycheeseam {

control_thread::control_thread()
  : mWork(boost::asio::make_work_guard(mContext))
  , mThread([this]() { Run(); })
{
}

control_thread::~control_thread()
{
  Stop();
}

void
control_thread::Stop()
{
  mContext.stop();
  if (mThread.joinable())
    mThread.join();
}

// An error that a handler doesn't catch ends that handler's work only: what it
// owned is destroyed, and all other work goes on.
void
control_thread::Run()
{
  while (!mContext.stopped()) {
    try {
      mContext.run();
    } catch (std::exception const& fault) {
      LogEvent("unexpected_error",
               { { "fault", std::string{ fault.what() } } });
    }
  }
}

}
