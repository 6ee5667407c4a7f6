#pragma once

namespace lycheeseam {

/// Whether a backend server takes requests, as it registered itself.
enum class server_stage
{
  Ready,
  /// It finishes its running requests and takes no new ones.
  Leaving,
};

}
