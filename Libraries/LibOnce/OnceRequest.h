#pragma once

#include <LibConfig/Idempotency.h>
#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibRecords/RequestKey.h>

#include <optional>

namespace lycheeseam {

/// A request as far as running it at most once is concerned.
struct once_request
{
  request_id mId;
  idempotency mIdempotency = idempotency::Idempotent;
  /// Set when the caller sent an Idempotency-Key.
  std::optional<request_key> mKey;
  /// The digest of method, path and body.
  digest mFingerprint;
  /// Until when the caller waits.
  instant mDeadline;
};

}
