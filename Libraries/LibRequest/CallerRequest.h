#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibRequest/CallKind.h>
#include <LibRequest/CallNumber.h>
#include <LibRequest/CompletionParameters.h>
#include <LibRequest/HeaderField.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheeseam {

/// A caller's request after decoding, before any decision. The key itself
/// is gone by here; its digest stands for it.
struct caller_request
{
  call_number mCall;
  request_id mId;
  call_kind mKind = call_kind::Plain;
  std::string mMethod;
  /// Path and query as they go on to a backend server.
  std::string mTarget;
  /// The headers that may go on, chosen by an allow list.
  std::vector<header_field> mHeaders;
  std::shared_ptr<std::string const> mBody;
  /// Of method, target and body.
  digest mFingerprint;
  std::optional<digest> mKey;
  std::optional<idempotency_key> mIdempotencyKey;
  /// W3C trace context as it came; empty when there was none.
  std::string mTraceparent;
  completion_parameters mCompletion;
  instant mArrival;

  /// The target without its query.
  [[nodiscard]] std::string_view Path() const
  {
    return std::string_view{ mTarget }.substr(0, mTarget.find('?'));
  }
};

}
