#pragma once

namespace lycheeseam {

/// Reports a broken invariant on standard error and ends the process.
[[noreturn]] void
OnBrokenInvariant(char const* aCondition, char const* aFile, int aLine);

}

/// Checks an invariant of this program in every build type. assert() is left to
/// the libraries, whose assertions release builds leave out: some of them fail
/// on bytes from the network that are valid.
#define VERIFY(condition)                                                      \
  (static_cast<bool>(condition)                                                \
     ? static_cast<void>(0)                                                    \
     : ::lycheeseam::OnBrokenInvariant(#condition, __FILE__, __LINE__))
