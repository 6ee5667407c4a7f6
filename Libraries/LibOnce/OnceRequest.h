#pragma once

#include <LibConfig/Idempotency.h>
#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibRecords/RequestKey.h>

#include <optional>

namespace lycheeseam {

/// The properties of a request that once_gate decides by.
struct once_request
{
  request_id mId;
  idempotency mIdempotency = idempotency::Idempotent;
  /// Set when the caller sent an Idempotency-Key.
  std::optional<request_key> mKey;
  /// The digest of method, path and body.
  digest mFingerprint;
  /// The time until which the caller waits for an answer.
  instant mDeadline;
};

}
