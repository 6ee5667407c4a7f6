#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
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
