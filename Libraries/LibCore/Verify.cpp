#include <LibCore/Verify.h>

#include <cstdio>
#include <cstdlib>

namespace lycheeseam {

void
OnBrokenInvariant(char const* aCondition, char const* aFile, int aLine)
{
  std::fprintf(
    stderr, "%s:%d: broken invariant: %s\n", aFile, aLine, aCondition);
  std::abort();
}

}
