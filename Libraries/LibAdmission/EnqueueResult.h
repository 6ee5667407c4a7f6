#pragma once

namespace lycheeseam {

/// What became of a request at the queue's entry.
enum class enqueue_result
{
  Queued,
  /// The workspace's own queue is full; the request has not run.
  WorkspaceFull,
  /// The whole queue is full; the request has not run.
  QueueFull,
};

}
