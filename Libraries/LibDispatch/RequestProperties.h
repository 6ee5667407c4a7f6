#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/PromptPart.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheeseam {

/// What decisions need to know of a caller's request; read from its head by
/// the front end that took it.
struct request_properties
{
  request_id mId;
  std::string mHost;
  std::string mPath;
  /// The caller's key; never passed on.
  std::optional<std::string> mKey;
  /// How long the caller waits, from the request's arrival.
  std::optional<duration> mPatience;
  /// Empty for plain services.
  model_name mModel;
  /// Nothing when the request doesn't tell its size.
  std::optional<token_count> mPromptTokens;
  token_count mMaxOutputTokens = 0;
  std::vector<prompt_part> mParts;
  /// The last event that the caller has of an earlier stream.
  std::optional<std::uint64_t> mLastEvent;

  /// The tokens of all parts that other requests share.
  [[nodiscard]] token_count SharedTokens() const
  {
    token_count tokens = 0;
    for (std::size_t index = 0; index + 1 < mParts.size(); ++index)
      tokens += mParts[index].mTokens;
    return tokens;
  }

  /// The last part that other requests share; null when there is none.
  [[nodiscard]] prompt_part const* SharedPart() const
  {
    return mParts.size() < 2 ? nullptr : &mParts[mParts.size() - 2];
  }
};

}
