#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/DomainScope.h>
#include <LibDispatch/TargetWeights.h>
#include <LibRollout/AllowedSoftware.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace lycheeseam {

/// The input to the choice of a backend server.
struct server_choice_request
{
  instant mNow{};
  /// The failure domain of this instance.
  failure_domain mDomain;
  /// Hash of the prompt's shared part; nothing when the request has none.
  std::optional<std::uint64_t> mPromptKey;
  /// Tokens of its prompt and of its longest possible answer.
  token_count mTokens = 0;
  /// Mean of mTokens over the requests of the pool; 0 when it isn't known.
  double mTypicalTokens = 0;
  /// Tokens of its prompt alone.
  token_count mPromptTokens = 0;
  /// Those of them in parts that other requests may share.
  token_count mSharedTokens = 0;
  /// The priority that the server is sent; 0 is the most urgent.
  std::uint32_t mPriority = 0;
  /// Bytes of its body and of its expected answer.
  std::uint64_t mBytes = 0;
  /// The failure domains whose servers may take it. Only the choice by cost
  /// depends on it.
  domain_scope mScope = domain_scope::Any;
  /// A number from 0 to 1 that is distributed evenly over requests.
  double mSample = 0;
  /// Empty for servers that run no model.
  model_name mModel;
  /// The model's target weights; null for none.
  target_weights const* mWeights = nullptr;
  /// How long older weights may be used after this instance learned of newer
  /// target weights.
  duration mOutdatedAfter{ duration::max() };
  /// The only software that may run the request; empty when any may.
  std::optional<software_version> mSoftware;
  /// The software that the rollout of the pool allows.
  allowed_software mAllowedSoftware;
  /// Servers that the request was already sent to.
  std::vector<backend_server_id> mTried;
};

}
