#pragma once

#include <cstddef>

/// \file Sizes of input buffers. The HTTP parser limits heads and bodies, but
/// neither the lines that begin chunks nor the fields after the last one: these
/// have to fit into the buffer, so its size is their limit.

namespace lycheeseam {

/// The buffer for a message with a head of the parser's usual size.
inline constexpr std::size_t kMaxInputBytes = 32'768;

/// What a buffer holds beyond the largest head that is allowed, so that a head
/// that is too large is seen as such.
inline constexpr std::size_t kInputMarginBytes = 4'096;

}
