#pragma once

#include <LibConfig/Idempotency.h>
#include <LibConfig/PriorityClass.h>
#include <LibConfig/RouteAccess.h>
#include <LibConfig/StreamResume.h>
#include <LibCore/Identifiers.h>

#include <chrono>
#include <string>

namespace lycheeseam {

/// A row of the table of routes: which requests go to which pool, and how they
/// are handled.
struct route_row
{
  route_name mName;
  /// The route matches requests whose path starts with this, in complete
  /// segments; the longest matching prefix wins.
  std::string mPathPrefix;
  /// The model that callers name in requests of the OpenAI API. Empty on routes
  /// that match any model.
  model_name mModel;
  pool_name mPool;
  route_access mAccess = route_access::Keyed;
  idempotency mIdempotency = idempotency::Idempotent;
  priority_class mPriority = priority_class::Normal;
  stream_resume mResume = stream_resume::Never;
  /// How long a request may wait for admission.
  std::chrono::milliseconds mQueueDeadline{ 2000 };
  /// How long an attempt may wait for the first byte of the server's answer.
  std::chrono::milliseconds mFirstByteTimeout{ 30000 };
  /// The most tokens that are charged in advance for the answer.
  token_count mMaxAnswerTokens = 1024;

  bool operator==(route_row const&) const = default;
};

}
