#pragma once

#include <string_view>

namespace lycheeseam {

/// Whether a request may have run on a backend server.
///
/// Every error answer to a caller contains a verdict. A non-idempotent request
/// may only be retried after NotRun.
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
