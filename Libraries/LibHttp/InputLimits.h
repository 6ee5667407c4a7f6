#pragma once

#include <cstddef>

/// \file Limits of what a peer of an HTTP connection can make this process
/// keep.

namespace lycheeseam {

/// The input buffer for a message with a head of the parser's usual size. The
/// HTTP parser limits heads and bodies, but neither the lines that begin chunks
/// nor the fields after the last one: these have to fit into the buffer.
inline constexpr std::size_t kMaxInputBytes = 32'768;

/// What a buffer holds beyond the largest head that is allowed, so that a head
/// that is too large is seen as such.
inline constexpr std::size_t kInputMarginBytes = 4'096;

/// The heads of one answer together, with the fields after its body, where
/// libcurl reads it.
inline constexpr std::size_t kMaxHeadBytes = 65'536;

/// An event of a stream. It holds some tokens; without a limit, a server that
/// never ends one would use up the memory.
inline constexpr std::size_t kMaxEventBytes = 262'144;

}
