#pragma once

namespace lycheeseam {

/// What becomes of a caller's connection after an answer.
enum class connection_use
{
  Kept,
  Closed,
};

}
