#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Instant.h>
#include <LibHttp/RequestHead.h>

#include <string>

namespace lycheeseam {

/// One call of an http_client.
struct http_exchange_call
{
  endpoint mTo;
  request_head mHead;
  std::string mBody;
  /// From the call to the whole answer.
  duration mTimeout{};
};

}
