#include <LibCodec/JsonText.h>
#include <LibCodec/RecordSerializers.h>
#include <LibCodec/SlotCheckpoint.h>

namespace lycheeseam {

namespace {

struct kept_slot
{
  slot_id mSlot;
  slot_holder mHolder;
};

}

template<>
struct json_fields<slot_holder>
{
  static constexpr std::tuple kFields{
    RequiredField("instance", &slot_holder::mInstance),
    RequiredField("incarnation", &slot_holder::mIncarnation),
    RequiredField("claim", &slot_holder::mClaim),
    RequiredField("former", &slot_holder::mFormerHolders),
  };
};

template<>
struct json_fields<kept_slot>
{
  static constexpr std::tuple kFields{
    RequiredField("slot", &kept_slot::mSlot),
    RequiredField("holder", &kept_slot::mHolder),
  };
};

std::string
EncodeSlotHolders(std::map<slot_id, slot_holder> const& aHolders)
{
  std::vector<kept_slot> kept;
  kept.reserve(aHolders.size());
  for (auto const& [slot, holder] : aHolders)
    kept.push_back({ .mSlot = slot, .mHolder = holder });
  return ToJsonText(kept);
}

std::map<slot_id, slot_holder>
DecodeSlotHolders(std::string_view aText)
{
  std::map<slot_id, slot_holder> holders;
  for (kept_slot& kept : FromJsonText<std::vector<kept_slot>>(aText))
    holders.emplace(kept.mSlot, std::move(kept.mHolder));
  return holders;
}

}
