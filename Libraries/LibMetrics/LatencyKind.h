#pragma once

namespace lycheeseam {

/// What a latency sample measures.
enum class latency_kind
{
  /// From a request's arrival to the first token or byte of its answer.
  FirstToken,
  /// Between two consecutive tokens of one stream.
  TokenGap,
  /// From a request's arrival to its dispatch.
  QueueWait,
};

/// The number of latency kinds.
inline constexpr int kLatencyKinds = 3;

}
