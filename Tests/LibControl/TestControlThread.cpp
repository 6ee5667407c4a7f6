#include <LibControl/ControlThread.h>

#include <gtest/gtest.h>

#include <stdexcept>

namespace lycheeseam {

namespace {

void
Fail()
{
  throw std::runtime_error("in use");
}

// Guards against an instance that can't start and waits for good: the error of
// work that another thread waits for belongs to that thread.
TEST(TestControlThread, InvokeThrowsWhatTheWorkThrows)
{
  control_thread thread;
  EXPECT_THROW(thread.Invoke(Fail), std::runtime_error);
}

TEST(TestControlThread, ErrorInPostedWorkLeavesTheThreadRunning)
{
  control_thread thread;
  boost::asio::post(thread.Context(), Fail);
  EXPECT_EQ(thread.Invoke([]() { return 3; }), 3);
}

}

}
