#include <LibCodec/JsonText.h>
#include <LibCodec/RecordSerializers.h>
#include <LibCodec/SlotCheckpoint.h>

namespace lycheeseam {

namespace {

struct slot_entry
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
struct json_fields<slot_entry>
{
  static constexpr std::tuple kFields{
    RequiredField("slot", &slot_entry::mSlot),
    RequiredField("holder", &slot_entry::mHolder),
  };
};

std::string
EncodeSlotHolders(std::map<slot_id, slot_holder> const& aHolders)
{
  std::vector<slot_entry> kept;
  kept.reserve(aHolders.size());
  for (auto const& [slot, holder] : aHolders)
    kept.push_back({ .mSlot = slot, .mHolder = holder });
  return ToJsonText(kept);
}

std::map<slot_id, slot_holder>
DecodeSlotHolders(std::string_view aText)
{
  std::map<slot_id, slot_holder> holders;
  for (slot_entry& kept : FromJsonText<std::vector<slot_entry>>(aText))
    holders.emplace(kept.mSlot, std::move(kept.mHolder));
  return holders;
}

}
