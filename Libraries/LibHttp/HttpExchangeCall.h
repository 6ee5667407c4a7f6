#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Instant.h>
#include <LibHttp/RequestHead.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// One call of an http_client.
struct http_exchange_call
{
  /// What the call is for, as the metrics name it; outlives the call.
  std::string_view mPurpose;
  endpoint mTo;
  request_head mHead;
  std::string mBody;
  /// From the call to the whole answer.
  duration mTimeout{};
};

}
