#pragma once

#include <LibCore/Instant.h>

namespace lycheeseam {

/// How long suspicions and permits last, and how long requests wait for
/// permits.
struct poison_timing
{
  /// How long a crash counts against a fingerprint.
  duration mSuspectTime = std::chrono::hours{ 1 };
  /// How long a fingerprint is refused after its second crash.
  duration mRefuseTime = std::chrono::hours{ 1 };
  /// How long the permits of an ended instance count as still running.
  duration mOrphanTime = std::chrono::seconds{ 60 };
  /// How long after its start a fingerprint owner directs all requests to their
  /// fallback servers, while the instances announce their running requests.
  duration mSettleTime = std::chrono::milliseconds{ 500 };
  /// How long a request waits for an answer of the owner. Then it runs without
  /// a permit on its fallback server; a suspect sends its request again.
  duration mPermitTimeout = std::chrono::milliseconds{ 100 };
  /// The delay before a permit request is sent again that got the decision Wait
  /// or an answer that missed a crash.
  duration mRetryDelay = std::chrono::milliseconds{ 50 };
};

}
