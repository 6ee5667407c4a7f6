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

/// A caller's decoded request, before any decision on it. It holds only the
/// digest of the caller's key, never the key itself.
struct caller_request
{
  call_number mCall;
  request_id mId;
  call_kind mKind = call_kind::Plain;
  std::string mMethod;
  /// Path and query, as forwarded to a backend server.
  std::string mTarget;
  /// The headers to forward, selected by an allow list.
  std::vector<header_field> mHeaders;
  std::shared_ptr<std::string const> mBody;
  /// Digest of method, target and body.
  digest mFingerprint;
  std::optional<digest> mKey;
  std::optional<idempotency_key> mIdempotencyKey;
  /// The W3C traceparent header as received; empty if there was none.
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
