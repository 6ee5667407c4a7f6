#include <LibDispatch/ServerLimit.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// There are as many holders as the server takes requests in this time: each may
// send one at any time if it has sent none for long. More holders use the limit
// better, as each gets requests for the server only now and then.
constexpr std::chrono::seconds kTimeAhead{ 2 };

// A holder with several requests in this time may send them together.
constexpr std::chrono::milliseconds kBurstTime{ 250 };

// A server with a lower limit still gets requests at this rate, because only
// their answers show when the limit ends.
constexpr double kMinRequestsPerSecond = 0.25;

// Holders that have requests for the server report its limit more often.
constexpr std::chrono::seconds kTurn{ 4 };

}

bool
server_limit::Apply(instant aNow,
                    std::optional<double> aRequestsPerSecond,
                    instant aObservedAt)
{
  if (aObservedAt < mObservedAt)
    return false;
  mObservedAt = aObservedAt;
  if (mRequestsPerSecond == aRequestsPerSecond)
    return false;
  bool const isFirst = !mRequestsPerSecond;
  mRequestsPerSecond = aRequestsPerSecond;
  // Holders that learn of the limit together don't send together.
  if (isFirst)
    mShareUsedUntil =
      aNow + Burst() +
      Interval() * (mPosition % HolderCount() + 1) / HolderCount();
  return true;
}

void
server_limit::SetPosition(instant aNow,
                          std::size_t aPosition,
                          std::size_t aInstances)
{
  bool const wasHolder = IsHolder(aNow);
  mPosition = aPosition;
  mInstances = aInstances;
  // The holder before may just have sent a request.
  if (mRequestsPerSecond && !wasHolder && IsHolder(aNow))
    mShareUsedUntil = std::max(mShareUsedUntil, aNow + Burst() + Interval());
}

std::size_t
server_limit::HolderCount() const
{
  double const ahead = mRequestsPerSecond.value_or(0) *
                       std::chrono::duration<double>(kTimeAhead).count();
  return static_cast<std::size_t>(
    std::clamp(ahead, 1.0, static_cast<double>(mInstances)));
}

bool
server_limit::IsHolder(instant aNow) const
{
  std::size_t const turn =
    static_cast<std::size_t>((aNow - mObservedAt) / kTurn) % mInstances;
  return (mPosition + mInstances - turn) % mInstances < HolderCount();
}

duration
server_limit::Interval() const
{
  double const rate =
    std::max(kMinRequestsPerSecond, mRequestsPerSecond.value_or(0));
  std::chrono::duration<double> const interval{
    static_cast<double>(HolderCount()) / rate
  };
  return std::chrono::duration_cast<duration>(interval);
}

duration
server_limit::Burst() const
{
  return std::max(duration{}, kBurstTime - Interval());
}

double
server_limit::Share(instant aNow) const
{
  if (!mRequestsPerSecond || !IsHolder(aNow))
    return 0;
  return 1 / std::chrono::duration<double>(Interval()).count();
}

instant
server_limit::NextSendAt(instant aNow) const
{
  if (!mRequestsPerSecond)
    return {};
  return IsHolder(aNow) ? mShareUsedUntil - Burst() : aNow + Interval();
}

void
server_limit::OnSend(instant aNow)
{
  if (mRequestsPerSecond)
    mShareUsedUntil = std::max(mShareUsedUntil, aNow) + Interval();
}

}
