#pragma once

#include <LibCore/Identifiers.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// A read of the log from an offset on.
struct read_request
{
  log_offset mFrom;
  std::uint32_t mMaxRecords = 256;
  /// How long the log may hold the answer back when there is nothing new.
  std::chrono::milliseconds mMaxWait{ 0 };

  bool operator==(read_request const&) const = default;
};

}
