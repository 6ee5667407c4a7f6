#include <LibEvents/EventLog.h>
#include <LibGateway/LogLimit.h>

#include <chrono>
#include <optional>
#include <string>

namespace lycheeseam {

namespace {

// Between two lines on a server that goes on to name the same limit.
constexpr std::chrono::seconds kLogInterval{ 1 };

}

void
LogLimit(instant aNow, tracked_server& aServer, evidence_source aSource)
{
  std::optional<double> const limit = aServer.mLimit.RequestsPerSecond();
  limit_trace& last = aServer.mLimitTrace;
  bool const isDue = limit && aNow - last.mLoggedAt >= kLogInterval;
  if (limit == last.mLimit && !isDue)
    return;
  std::chrono::milliseconds const since =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow -
                                                          last.mLoggedAt);
  LogEvent(
    "server_limit",
    { { "server", aServer.mRegistered.mId.Text() },
      { "limited", std::int64_t{ limit.has_value() } },
      { "requests_per_s", limit.value_or(0) },
      { "share_per_s", aServer.mLimit.Share(aNow) },
      { "told_by",
        std::string{ aSource == evidence_source::Own ? "answer" : "peer" } },
      { "sent", static_cast<std::int64_t>(aServer.mSent - last.mSent) },
      { "since_ms",
        last.mLimit ? std::int64_t{ since.count() } : std::int64_t{ -1 } } });
  last = { .mLimit = limit, .mLoggedAt = aNow, .mSent = aServer.mSent };
}

}
