#include <LibOpenAi/FormatRefusal.h>

#include <nlohmann/json.hpp>

namespace lycheeseam {

namespace {

// The OpenAI API's error types, which client libraries map to exceptions.
std::string_view
ErrorType(std::uint16_t aStatus)
{
  if (aStatus == 401 || aStatus == 403)
    return "authentication_error";
  if (aStatus == 429)
    return "rate_limit_error";
  if (aStatus >= 500)
    return "server_error";
  return "invalid_request_error";
}

}

std::string
FormatRefusal(refusal const& aRefusal, request_id const& aRequest)
{
  nlohmann::json const body{
    { "error",
      { { "message", aRefusal.mMessage },
        { "type", ErrorType(RefusalStatus(aRefusal.mCode)) },
        { "code", RefusalName(aRefusal.mCode) },
        { "param", nullptr },
        { "verdict", VerdictName(aRefusal.mVerdict) },
        { "request_id", aRequest.Text() } } },
  };
  // Messages may quote a caller's bytes; invalid UTF-8 in them is replaced.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
FormatRefusalEvent(refusal const& aRefusal, request_id const& aRequest)
{
  return "data: " + FormatRefusal(aRefusal, aRequest) + "\n\n";
}

}
