#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Instant.h>
#include <LibHttp/RequestHead.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheeseam {

/// One request that an http_client sends, and where it is sent to.
struct http_exchange_call
{
  /// The value of the metrics' label "purpose"; the text outlives the call.
  std::string_view mPurpose;
  endpoint mTo;
  request_head mHead;
  std::string mBody;
  /// From the start of the call to the end of the answer.
  duration mTimeout{};
  /// A longer body ends the call with a fault.
  std::uint64_t mMaxAnswerBytes = 262'144;
};

}
