#pragma once

namespace lycheeseam {

/// Whether a heartbeat's receiver sends one back at once.
enum class heartbeat_answer
{
  NotWanted,
  Wanted,
};

}
