#pragma once

#include <LibPlacement/CacheEvent.h>

#include <Bench/Decisions/EngineJob.h>

#include <functional>

namespace lycheeseam::bench {

/// What an engine tells the run.
struct engine_listener
{
  std::function<void(engine_job const&)> mOnFirstToken;
  std::function<void(engine_job const&)> mOnEnd;
  /// The process died while it ran this.
  std::function<void(engine_job const&)> mOnLost;
};

}
