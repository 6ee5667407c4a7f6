#pragma once

#include <LibCore/Verdict.h>
#include <LibRequest/RefusalCode.h>

#include <chrono>
#include <optional>
#include <string>

namespace lycheeseam {

/// An error answer to a caller; its verdict states whether the request may have
/// run.
struct refusal
{
  refusal_code mCode = refusal_code::InvalidRequest;
  verdict mVerdict = verdict::NotRun;
  /// A one-sentence explanation for human readers.
  std::string mMessage;
  /// The Retry-After header's value, after which a repeat is likely to succeed.
  std::optional<std::chrono::seconds> mRetryAfter;
};

}
