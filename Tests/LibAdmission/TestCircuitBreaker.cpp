#include <LibAdmission/CircuitBreaker.h>
#include <LibAdmission/RetryBudget.h>
#include <LibAdmission/ServerWindow.h>
#include <LibAdmission/SlowStart.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using namespace std::chrono_literals;

TEST(TestCircuitBreaker, OpensProbesAndBacksOff)
{
  circuit_breaker breaker;
  instant now{};
  breaker.OnFailure(now);
  breaker.OnFailure(now);
  EXPECT_EQ(breaker.State(now), breaker_state::Closed);
  breaker.OnFailure(now);
  EXPECT_EQ(breaker.State(now), breaker_state::Open);
  // Failures of requests sent before the breaker opened don't extend the open
  // time.
  breaker.OnFailure(now + 400ms);
  EXPECT_EQ(breaker.State(now + 500ms), breaker_state::HalfOpen);
  now += 500ms;
  breaker.OnFailure(now);
  EXPECT_EQ(breaker.State(now + 900ms), breaker_state::Open);
  EXPECT_EQ(breaker.State(now + 1s), breaker_state::HalfOpen);
  breaker.OnSuccess();
  EXPECT_EQ(breaker.State(now + 1s), breaker_state::Closed);
}

TEST(TestRetryBudget, LimitsRetriesToAPartOfTraffic)
{
  retry_budget budget;
  int retries = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.OnRequest();
    retries += budget.TrySpend() ? 1 : 0;
  }
  EXPECT_LE(retries, 110);
  EXPECT_GE(retries, 105);
}

TEST(TestServerWindow, LimitsOutstandingRequests)
{
  server_window window{ 1 };
  EXPECT_TRUE(window.TryAcquire());
  EXPECT_FALSE(window.TryAcquire());
  window.Release();
  EXPECT_EQ(window.Free(), 1U);
  EXPECT_TRUE(window.TryAcquire());
  window.SetLimit(0);
  EXPECT_EQ(window.Free(), 0U);
}

TEST(TestSlowStart, RampsToFullShare)
{
  slow_start ramp;
  EXPECT_EQ(ramp.Share(instant{}), 1.0);
  ramp.OnColdStart(instant{});
  EXPECT_DOUBLE_EQ(ramp.Share(instant{}), 0.2);
  EXPECT_DOUBLE_EQ(ramp.Share(instant{} + 2500ms), 0.5);
  EXPECT_DOUBLE_EQ(ramp.Share(instant{} + 9s), 1.0);
}

}
}
