#pragma once

#include <chrono>
#include <cstddef>

namespace lycheeseam {

/// What a caller's connection is allowed besides the limits that operators set.
struct caller_session_limits
{
  // An answer pauses while more bytes than this wait to be written: about as
  // much as a connection with a small TCP window takes at once.
  static constexpr std::size_t kCongestedBytes = 65'536;
  // Longer than any request's time limit: a body that takes this long to arrive
  // is abandoned.
  static constexpr std::chrono::seconds kBodyTimeout{ 15 };
  // How long a caller may take to read the rest of a complete answer.
  static constexpr std::chrono::seconds kWriteTimeout{ 15 };
  // A caller that opens a connection sends its request at once.
  static constexpr std::chrono::milliseconds kFirstRequestTime{ 500 };
  // How long a closing connection waits for the caller to close its end.
  static constexpr std::chrono::seconds kLingerTime{ 1 };
};

}
