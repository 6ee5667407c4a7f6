#include <LibRollout/AllowedSoftware.h>

#include <algorithm>

namespace lycheeseam {

bool
allowed_software::Allows(software_version const& aSoftware) const
{
  bool const isTarget = mTarget != nullptr && *mTarget == aSoftware;
  if (isTarget)
    return mRule != software_rule::OthersOnly;
  if (mRule == software_rule::TargetOnly)
    return false;
  if (mOnlyOther != nullptr && *mOnlyOther != aSoftware)
    return false;
  return std::find(mWithheld.begin(), mWithheld.end(), aSoftware) ==
         mWithheld.end();
}

}
