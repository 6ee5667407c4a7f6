#include <LibGateway/ExchangeEndFor.h>

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace lycheeseam {

namespace {

bool
IsFormatFault(boost::system::error_code aFault)
{
  namespace http = boost::beast::http;
  return aFault.category() == http::make_error_code(http::error{}).category() &&
         aFault != http::error::end_of_stream &&
         aFault != http::error::partial_message;
}

}

exchange_end
ExchangeEndFor(boost::system::error_code aFault, connect_end aPath)
{
  // Bytes that are no answer are the server's, whatever path they took.
  if (aPath == connect_end::Tunnel && !IsFormatFault(aFault))
    return exchange_end::TunnelBroken;
  return aFault == boost::asio::error::timed_out ? exchange_end::Unresponsive
                                                 : exchange_end::Broken;
}

}
