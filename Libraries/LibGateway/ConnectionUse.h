#pragma once

namespace lycheeseam {

/// What happens to a caller's connection after an answer.
enum class connection_use
{
  Kept,
  Closed,
};

}
