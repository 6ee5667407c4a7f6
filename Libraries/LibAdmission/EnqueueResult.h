#pragma once

namespace lycheeseam {

/// Whether fair_queue accepted a request.
enum class enqueue_result
{
  Queued,
  /// The workspace's own queue is full; the request has not run.
  WorkspaceFull,
  /// The whole queue is full; the request has not run.
  QueueFull,
};

}
