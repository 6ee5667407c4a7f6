#pragma once

namespace lycheeseam {

/// How the end of an answer's body is told to the caller.
enum class body_framing
{
  /// The head tells the length.
  Sized,
  /// Each piece tells its length.
  Chunked,
};

}
