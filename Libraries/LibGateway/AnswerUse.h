#pragma once

namespace lycheeseam {

/// What to do with an answer whose head has been read.
enum class answer_use
{
  Accept,
  /// The answer belongs to another request: read past it to the next one.
  Skip,
};

}
