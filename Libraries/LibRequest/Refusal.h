#pragma once

#include <LibCore/Verdict.h>
#include <LibRequest/RefusalCode.h>

#include <chrono>
#include <optional>
#include <string>

namespace lycheeseam {

/// An error answer to a caller. It always says whether the request may have
/// run.
struct refusal
{
  refusal_code mCode = refusal_code::InvalidRequest;
  verdict mVerdict = verdict::NotRun;
  /// One sentence for people.
  std::string mMessage;
  /// When a repeat is likely to fare better.
  std::optional<std::chrono::seconds> mRetryAfter;
};

}
