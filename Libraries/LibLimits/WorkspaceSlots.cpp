#include <LibLimits/WorkspaceSlots.h>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace lycheeseam {

namespace {

std::uint64_t
Score(workspace_id const& aWorkspace, slot_id aSlot)
{
  std::string const& text = aWorkspace.Text();
  return XXH3_64bits_withSeed(text.data(), text.size(), aSlot.Value());
}

}

std::vector<slot_id>
WorkspaceSlots(workspace_id const& aWorkspace, slot_layout aLayout)
{
  std::vector<slot_id> slots;
  slots.reserve(aLayout.mSlots);
  for (std::uint64_t i = 1; i <= aLayout.mSlots; ++i)
    slots.emplace_back(i);
  if (aLayout.mSlots <= aLayout.mSlotsPerWorkspace)
    return slots;
  auto const byScore = [&aWorkspace](slot_id aLeft, slot_id aRight) {
    return Score(aWorkspace, aLeft) > Score(aWorkspace, aRight);
  };
  std::sort(slots.begin(), slots.end(), byScore);
  slots.resize(aLayout.mSlotsPerWorkspace);
  std::sort(slots.begin(), slots.end());
  return slots;
}

}
