#include <LibEvents/EventLog.h>
#include <LibGateway/LogLimit.h>

#include <chrono>

namespace lycheeseam {

namespace {

// Between two lines on a server that goes on to name the same limit.
constexpr std::chrono::seconds kLogInterval{ 1 };

}

void
LogLimit(instant aNow, tracked_server& aServer, std::optional<double> aLimit)
{
  limit_trace& last = aServer.mLimitTrace;
  bool const isDue = aLimit && aNow - last.mLoggedAt >= kLogInterval;
  if (aLimit == last.mLimit && !isDue)
    return;
  std::chrono::milliseconds const since =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow -
                                                          last.mLoggedAt);
  LogEvent("server_limit",
           { { "server", aServer.mRegistered.mId.Text() },
             { "limited", std::int64_t{ aLimit.has_value() } },
             { "requests_per_s", aLimit.value_or(0) },
             { "sent", static_cast<std::int64_t>(aServer.mSent - last.mSent) },
             { "since_ms",
               last.mLimit ? std::int64_t{ since.count() }
                           : std::int64_t{ -1 } } });
  last = { .mLimit = aLimit, .mLoggedAt = aNow, .mSent = aServer.mSent };
}

}
