#pragma once

namespace lycheeseam {

/// What is to be done with an answer whose head has come.
enum class answer_use
{
  Take,
  /// It belongs to another request: read past it to the next one.
  Skip,
};

}
