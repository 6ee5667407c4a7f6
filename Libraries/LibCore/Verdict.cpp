#include <LibCore/Verdict.h>

namespace lycheeseam {

std::string_view
VerdictName(verdict aVerdict)
{
  switch (aVerdict) {
    case verdict::NotRun:
      return "not_run";
    case verdict::MayHaveRun:
      return "may_have_run";
    case verdict::Ran:
      return "ran";
  }
  return "may_have_run";
}

}
