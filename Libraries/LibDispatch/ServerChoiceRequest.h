#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

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
  /// The version of weights that answers should be made on; 0 for any.
  std::uint64_t mNewestVersion = 0;
  /// Servers that this request was sent to already.
  std::vector<backend_server_id> mTried;
};

}
