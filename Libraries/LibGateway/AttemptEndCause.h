#pragma once

#include <LibGateway/ExchangeEnd.h>

#include <string_view>

/// \file The names in logs and metrics of how attempts ended.

namespace lycheeseam {

/// The cause of an attempt that no connection could be opened for.
std::string_view
ConnectFailureCause(exchange_end aEnd);

/// The cause of an attempt that was lost after the request was sent.
std::string_view
LossCause(exchange_end aEnd);

}
