#pragma once

namespace lycheeseam {

/// What a backend server says of itself.
enum class server_stage
{
  Ready,
  /// It finishes its work and takes no more.
  Leaving,
};

}
