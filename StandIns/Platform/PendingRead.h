#pragma once

#include "Responder.h"
#include <LibPlatform/ReadRequest.h>

#include <cstdint>

namespace lycheeseam::standin {

/// A long-poll read that waits for a new record.
struct pending_read
{
  read_request mRequest;
  responder mResponder;
  /// Identifies the read when its wait ends.
  std::uint64_t mNumber = 0;
};

}
