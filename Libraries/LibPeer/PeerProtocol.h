#pragma once

#include <cstdint>

namespace lycheeseam {

/// The version of the messages between instances; links between unequal
/// versions are refused.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;

}
