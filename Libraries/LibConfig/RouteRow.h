#pragma once

#include <LibConfig/Idempotency.h>
#include <LibConfig/PriorityClass.h>
#include <LibConfig/RouteAccess.h>
#include <LibConfig/StreamResume.h>
#include <LibCore/Identifiers.h>

#include <chrono>
#include <string>

namespace lycheeseam {

/// A row of the table of routes: says where traffic goes.
struct route_row
{
  route_name mName;
  /// Requests whose path starts with this take the route; the longest wins.
  std::string mPathPrefix;
  /// For OpenAI paths: the model that callers name. Empty on plain routes.
  model_name mModel;
  pool_name mPool;
  route_access mAccess = route_access::Keyed;
  idempotency mIdempotency = idempotency::Idempotent;
  priority_class mPriority = priority_class::Normal;
  stream_resume mResume = stream_resume::Never;
  /// How long a request may wait for admission.
  std::chrono::milliseconds mQueueDeadline{ 2000 };
  /// How long an attempt may wait for its first byte.
  std::chrono::milliseconds mFirstByteTimeout{ 30000 };
  /// The largest answer charged in advance, in tokens.
  token_count mMaxAnswerTokens = 1024;

  bool operator==(route_row const&) const = default;
};

}
