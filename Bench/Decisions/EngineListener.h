#pragma once

#include <LibPlacement/CacheEvent.h>

#include <Bench/Decisions/EngineJob.h>

#include <functional>

namespace lycheeseam::bench {

/// The callbacks with which an engine reports to the simulation.
struct engine_listener
{
  std::function<void(engine_job const&)> mOnFirstToken;
  std::function<void(engine_job const&)> mOnEnd;
  /// The engine crashed while it ran or queued the job.
  std::function<void(engine_job const&)> mOnCrashed;
};

}
