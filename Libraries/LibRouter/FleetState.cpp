#include <LibCodec/CheckpointCodec.h>
#include <LibCodec/ClaimCheckpoint.h>
#include <LibCodec/ConfigCheckpoint.h>
#include <LibCodec/SlotCheckpoint.h>
#include <LibCore/InvalidInput.h>
#include <LibRouter/FleetState.h>

#include <algorithm>
#include <vector>

namespace lycheeseam {

namespace {

constexpr std::string_view kSlotSection = "slots";
constexpr std::string_view kClaimSection = "claims";

std::string_view
FindSection(std::span<checkpoint_section const> aSections,
            std::string_view aName)
{
  auto const found =
    std::ranges::find(aSections, aName, &checkpoint_section::mName);
  if (found == aSections.end())
    throw invalid_input("the checkpoint is missing the section " +
                        std::string{ aName });
  return found->mText;
}

}

fleet_state::fleet_state(fleet_budget& aBudget, once_gate& aGate)
  : mBudget(aBudget)
  , mGate(aGate)
{
}

void
fleet_state::Apply(log_entry const& aEntry)
{
  mConfig.Apply(aEntry);
  mBudget.OnEntry(mClock.Now(), aEntry);
  mGate.OnEntry(aEntry);
  mOffset = aEntry.mOffset;
}

std::string
fleet_state::Save() const
{
  std::vector<checkpoint_section> const sections{
    { .mName = std::string{ config_fold::kSection },
      .mText = checkpoint_serializer<config_fold>::Save(mConfig) },
    { .mName = std::string{ kSlotSection },
      .mText = EncodeSlotHolders(mBudget.Slots().Holders()) },
    { .mName = std::string{ kClaimSection },
      .mText = EncodeClaimState(mGate.Claims().State()) },
  };
  return EncodeSections(sections);
}

// Decodes all sections before it changes any state, so that a malformed section
// leaves the state unchanged.
void
fleet_state::Load(log_offset aCovers, std::string_view aText)
{
  std::vector<checkpoint_section> const sections = DecodeSections(aText);
  config_fold config = mConfig;
  checkpoint_serializer<config_fold>::Load(
    config, FindSection(sections, config_fold::kSection));
  std::map<slot_id, slot_holder> holders =
    DecodeSlotHolders(FindSection(sections, kSlotSection));
  claim_state const claims =
    DecodeClaimState(FindSection(sections, kClaimSection));
  mConfig = std::move(config);
  mBudget.Restore(mClock.Now(), std::move(holders), aCovers);
  mGate.Restore(claims);
  mOffset = aCovers;
}

}
