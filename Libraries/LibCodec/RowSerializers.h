#pragma once

#include <LibCodec/ContainerSerializers.h>
#include <LibCodec/EnumNames.h>
#include <LibCodec/ObjectSerializer.h>
#include <LibCodec/ScalarSerializers.h>
#include <LibConfig/KeyRow.h>
#include <LibConfig/PoolRow.h>
#include <LibConfig/RouteRow.h>
#include <LibConfig/WorkspaceRow.h>

#include <tuple>

/// \file JSON serializers of the operators' rows.

namespace lycheeseam {

template<>
struct json_fields<backend_server>
{
  static constexpr std::tuple kFields{
    RequiredField("id", &backend_server::mId),
    RequiredField("address", &backend_server::mAddress),
    RequiredField("failure_domain", &backend_server::mFailureDomain),
    OptionalField("fencing", &backend_server::mFencing),
  };
};

template<>
struct json_fields<pool_row>
{
  static constexpr std::tuple kFields{
    RequiredField("name", &pool_row::mName),
    RequiredField("kind", &pool_row::mKind),
    RequiredField("servers", &pool_row::mServers),
    OptionalField("model", &pool_row::mModel),
    OptionalField("weights", &pool_row::mWeights),
    OptionalField("max_outstanding", &pool_row::mMaxOutstanding),
    OptionalField("max_weight_loads", &pool_row::mMaxWeightLoads),
  };
};

template<>
struct json_fields<route_row>
{
  static constexpr std::tuple kFields{
    RequiredField("name", &route_row::mName),
    RequiredField("path_prefix", &route_row::mPathPrefix),
    OptionalField("model", &route_row::mModel),
    RequiredField("pool", &route_row::mPool),
    OptionalField("access", &route_row::mAccess),
    OptionalField("idempotency", &route_row::mIdempotency),
    OptionalField("priority", &route_row::mPriority),
    OptionalField("resume", &route_row::mResume),
    OptionalField("queue_deadline_ms", &route_row::mQueueDeadline),
    OptionalField("first_byte_timeout_ms", &route_row::mFirstByteTimeout),
    OptionalField("max_answer_tokens", &route_row::mMaxAnswerTokens),
  };
};

template<>
struct json_fields<key_row>
{
  static constexpr std::tuple kFields{
    RequiredField("digest", &key_row::mDigest),
    RequiredField("workspace", &key_row::mWorkspace),
    OptionalField("label", &key_row::mLabel),
  };
};

template<>
struct json_fields<workspace_row>
{
  static constexpr std::tuple kFields{
    RequiredField("name", &workspace_row::mName),
    RequiredField("rate_tokens_per_s", &workspace_row::mRate),
    RequiredField("burst_tokens", &workspace_row::mBurst),
    OptionalField("weight", &workspace_row::mWeight),
  };
};

}
