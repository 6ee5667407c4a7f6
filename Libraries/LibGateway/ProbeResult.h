#pragma once

#include <cstdint>

namespace lycheeseam {

/// How a probe of a server's load ended.
enum class probe_result : std::uint8_t
{
  /// The connection failed, or what came over it was no answer.
  Failed,
  TimedOut,
  /// The server answered, without a usable load.
  NoLoad,
  /// Another server answered at its address.
  OtherServer,
  Answered,
};

}
