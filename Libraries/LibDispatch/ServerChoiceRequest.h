#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/TargetWeights.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace lycheeseam {

/// What the choice of a backend server depends on.
struct server_choice_request
{
  instant mNow{};
  failure_domain mDomain;
  /// Hash of the prompt's shared part; nothing for plain services.
  std::optional<std::uint64_t> mPromptKey;
  /// Empty for plain services.
  model_name mModel;
  /// The weights that operators named for the model; null for none.
  target_weights const* mWeights = nullptr;
  /// How long after newer weights were named older ones may still be used.
  duration mOutdatedAfter{ duration::max() };
  /// Servers that this request was sent to already.
  std::vector<backend_server_id> mTried;
};

}
