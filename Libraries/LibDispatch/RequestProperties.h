#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/PromptPart.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lycheeseam {

/// The properties of a caller's request that decisions depend on. The front end
/// reads them from the request's head.
struct request_properties
{
  request_id mId;
  std::string mHost;
  std::string mPath;
  /// The caller's API key; never sent to backend servers.
  std::optional<std::string> mKey;
  /// How long the caller waits, counted from the request's arrival.
  std::optional<duration> mMaxWait;
  /// Empty for requests that use no model.
  model_name mModel;
  /// Nothing when the request doesn't state its size.
  std::optional<token_count> mPromptTokens;
  token_count mMaxOutputTokens = 0;
  std::vector<prompt_part> mParts;
  /// Id of the last event that the caller received of a stream to be resumed.
  std::optional<std::uint64_t> mLastEvent;
  /// The request that brought the first event of that stream; empty when the
  /// caller doesn't say.
  request_id mResumes;

  /// True when the request continues a stream that another request began.
  [[nodiscard]] bool IsResumption() const
  {
    return mLastEvent.has_value() || !mResumes.IsEmpty();
  }

  /// The request that began the stream, as far as the caller says.
  [[nodiscard]] request_id const& StreamId() const
  {
    return mResumes.IsEmpty() ? mId : mResumes;
  }

  /// Tokens of the parts that other requests may share.
  [[nodiscard]] token_count SharedTokens() const
  {
    token_count tokens = 0;
    for (prompt_part const& part : SharedParts())
      tokens += part.mTokens;
    return tokens;
  }

  /// The parts that other requests may share: all but the last one.
  [[nodiscard]] std::span<prompt_part const> SharedParts() const
  {
    return { mParts.data(), mParts.empty() ? 0 : mParts.size() - 1 };
  }

  /// The ids of these parts, separated by commas.
  [[nodiscard]] std::string SharedPartIds() const
  {
    std::string ids;
    for (prompt_part const& part : SharedParts()) {
      ids += ids.empty() ? "" : ",";
      ids += part.mId;
    }
    return ids;
  }

  /// The last part that other requests may share; null when there is none.
  [[nodiscard]] prompt_part const* SharedPart() const
  {
    return mParts.size() < 2 ? nullptr : &mParts[mParts.size() - 2];
  }
};

}
