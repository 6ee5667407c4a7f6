#pragma once

#include <LibLimits/SlotHolder.h>
#include <LibRecords/SlotId.h>

#include <map>
#include <string>
#include <string_view>

namespace lycheeseam {

/// The section of budget slots in a checkpoint.
std::string
EncodeSlotHolders(std::map<slot_id, slot_holder> const& aHolders);

/// Reads the section of budget slots; throws codec_error.
std::map<slot_id, slot_holder>
DecodeSlotHolders(std::string_view aText);

}
