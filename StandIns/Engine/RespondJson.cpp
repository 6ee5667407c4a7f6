#include <StandIns/Engine/RespondJson.h>

namespace lycheeseam::standin {

using boost::beast::http::status;
using nlohmann::json;

void
RespondError(http_exchange& aExchange,
             status aStatus,
             std::string_view aCode,
             std::string_view aMessage)
{
  json const error{ { "code", aCode }, { "message", aMessage } };
  aExchange.Respond(aStatus, json{ { "error", error } }.dump());
}

void
RespondOk(http_exchange& aExchange, json const& aBody)
{
  aExchange.Respond(status::ok, aBody.dump());
}

}
