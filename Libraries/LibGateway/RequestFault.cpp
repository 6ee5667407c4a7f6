#include <LibGateway/RequestFault.h>

#include <boost/beast/http/error.hpp>

namespace lycheeseam {

std::optional<refusal_status>
RefusalForReadFault(boost::system::error_code aFault)
{
  namespace http = boost::beast::http;
  if (aFault == http::error::header_limit)
    return refusal_status::HeadTooLarge;
  if (aFault == http::error::body_limit)
    return refusal_status::BodyTooLarge;
  bool const isParseFault =
    aFault.category() ==
    http::make_error_code(http::error::bad_method).category();
  bool const hasEnded = aFault == http::error::end_of_stream ||
                        aFault == http::error::partial_message;
  if (isParseFault && !hasEnded)
    return refusal_status::BadRequest;
  return std::nullopt;
}

}
