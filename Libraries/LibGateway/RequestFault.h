#pragma once

#include <LibGateway/RefusalStatus.h>
#include <LibHttp/FieldLookup.h>

#include <boost/beast/http/field.hpp>
#include <boost/system/error_code.hpp>

#include <optional>
#include <string>

namespace lycheeseam {

/// The refusal of a request that can't be read; nothing when the connection
/// just ended.
std::optional<refusal_status>
RefusalForReadFault(boost::system::error_code aFault);

/// True when a message's body has a transfer coding other than chunked, which
/// would leave the end of the body ambiguous.
template<typename Message>
bool
HasUnsupportedCoding(Message const& aMessage)
{
  auto const coding =
    aMessage.find(boost::beast::http::field::transfer_encoding);
  return coding != aMessage.end() &&
         !IsSameFieldName(std::string{ coding->value() }, "chunked");
}

/// True when a caller sends its body only after an interim answer.
template<typename Message>
bool
ExpectsContinue(Message const& aMessage)
{
  return IsSameFieldName(
    std::string{ aMessage[boost::beast::http::field::expect] }, "100-continue");
}

}
