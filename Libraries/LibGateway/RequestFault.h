#pragma once

#include <LibGateway/RefusalStatus.h>
#include <LibHttp/FieldLookup.h>

#include <boost/beast/http/field.hpp>
#include <boost/system/error_code.hpp>

#include <optional>
#include <string>

namespace lycheeseam {

/// The answer to bytes that are no request; nothing when the connection just
/// ended.
std::optional<refusal_status>
RefusalOf(boost::system::error_code aFault);

/// True when a message's body has a coding other than chunked, which would
/// leave its end in doubt.
template<typename Message>
bool
HasUnknownCoding(Message const& aMessage)
{
  auto const coding =
    aMessage.find(boost::beast::http::field::transfer_encoding);
  return coding != aMessage.end() &&
         !IsSameFieldName(std::string{ coding->value() }, "chunked");
}

}
