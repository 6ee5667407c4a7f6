#pragma once

namespace lycheeseam {

/// How the end of an answer's body is marked for the caller.
enum class body_framing
{
  /// The head states the length of the body.
  Sized,
  /// Each piece states its length, as in HTTP's chunked transfer coding.
  Chunked,
};

}
