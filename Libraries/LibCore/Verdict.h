#pragma once

#include <string_view>

namespace lycheeseam {

/// Whether a request may have run on a backend server.
///
/// Every failure that a caller sees carries one of these; a retry of
/// non-idempotent work is allowed after NotRun only.
enum class verdict
{
  NotRun,
  MayHaveRun,
  Ran,
};

/// The verdict's name on the wire: "not_run", "may_have_run" or "ran".
std::string_view
VerdictName(verdict aVerdict);

}
