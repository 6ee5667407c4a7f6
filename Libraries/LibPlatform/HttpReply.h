#pragma once

#include <LibPlatform/TransferEnd.h>

#include <string>

namespace lycheeseam {

/// The result of one HTTP call.
struct http_reply
{
  transfer_end mEnd = transfer_end::NoAnswer;
  /// The HTTP status; 0 unless mEnd is Answered.
  long mStatus = 0;
  std::string mBody;
};

}
