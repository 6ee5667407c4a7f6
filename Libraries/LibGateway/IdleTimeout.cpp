#include <LibGateway/IdleTimeout.h>
#include <LibHttp/FieldLookup.h>

#include <algorithm>
#include <optional>
#include <string_view>

namespace lycheeseam {

namespace {

// Servers that announce no timeout close idle connections after some seconds.
constexpr std::chrono::milliseconds kDefaultIdleTimeout{ 2'000 };

// A longer timeout is no different from it.
constexpr std::int64_t kMaxIdleSeconds = 3'600;

// A connection is last used this long before the timeout that its server
// announced: a server that is about to close a connection must not be sent a
// request on it.
constexpr std::chrono::milliseconds kIdleTimeoutMargin{ 700 };

}

std::chrono::milliseconds
IdleTimeout(answer_head const& aHead)
{
  std::optional<std::string_view> const keepAlive =
    FindField(aHead.mFields, "Keep-Alive");
  if (!keepAlive || !keepAlive->starts_with("timeout="))
    return kDefaultIdleTimeout;
  std::string_view const seconds = keepAlive->substr(keepAlive->find('=') + 1);
  std::optional<std::int64_t> const count =
    ParseWholeNumber(seconds.substr(0, seconds.find(',')));
  if (!count)
    return kDefaultIdleTimeout;
  std::int64_t const bounded =
    std::clamp<std::int64_t>(*count, 0, kMaxIdleSeconds);
  return std::chrono::seconds{ bounded } - kIdleTimeoutMargin;
}

}
