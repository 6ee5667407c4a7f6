#pragma once

namespace lycheeseam {

/// The kind of a caller's request.
enum class call_kind
{
  /// An OpenAI completion, complete or streamed.
  Completion,
  /// A request to a plain HTTP service, forwarded unchanged.
  Plain,
};

}
