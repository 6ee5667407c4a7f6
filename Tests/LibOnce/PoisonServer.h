#pragma once

#include "PoisonRun.h"
#include <LibCore/Instant.h>

#include <cstdint>
#include <map>

namespace lycheeseam {

/// A server of a poison_fleet, with its running requests.
struct poison_server
{
  std::uint64_t mIncarnation = 1;
  instant mUpAt;
  std::map<request_id, poison_run> mRunning;
};

}
