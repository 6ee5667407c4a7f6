#pragma once

#include "Responder.h"
#include <LibPlatform/ReadRequest.h>

#include <cstdint>

namespace lycheeseam::standin {

/// A read that waits for a record.
struct pending_read
{
  read_request mRequest;
  responder mResponder;
  /// Tells reads apart when their wait ends.
  std::uint64_t mNumber = 0;
};

}
