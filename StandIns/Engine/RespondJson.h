#pragma once

#include <StandIns/Http/HttpExchange.h>
#include <nlohmann/json.hpp>

#include <string_view>

namespace lycheeseam::standin {

/// Answers with a status and a JSON body that holds an error code and a
/// message.
void
RespondError(http_exchange& aExchange,
             boost::beast::http::status aStatus,
             std::string_view aCode,
             std::string_view aMessage);

/// Answers 200 with a JSON body.
void
RespondOk(http_exchange& aExchange, nlohmann::json const& aBody);

}
