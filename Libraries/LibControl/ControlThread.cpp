#include <LibControl/ControlThread.h>

namespace lycheeseam {

control_thread::control_thread()
  : mWork(boost::asio::make_work_guard(mContext))
  , mThread([this]() { mContext.run(); })
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

}
