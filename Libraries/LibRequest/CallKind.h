#pragma once

namespace lycheeseam {

/// What a caller asks for.
enum class call_kind
{
  /// An OpenAI completion, whole or streamed.
  Completion,
  /// A call of a plain service, passed on as it is.
  Plain,
};

}
