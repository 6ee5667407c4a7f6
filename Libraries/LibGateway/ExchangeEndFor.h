#pragma once

#include <LibGateway/ConnectEnd.h>
#include <LibGateway/ExchangeEnd.h>

#include <boost/system/error_code.hpp>

namespace lycheeseam {

/// How a fault ends an exchange whose request was sent; aPath is Direct or
/// Tunnel.
exchange_end
ExchangeEndFor(boost::system::error_code aFault, connect_end aPath);

}
