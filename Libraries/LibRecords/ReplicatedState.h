#pragma once

#include <LibRecords/LogEntry.h>

#include <concepts>
#include <string>
#include <string_view>

namespace lycheeseam {

/// All folds of an instance as one state as of one log offset, which can be
/// saved to and loaded from a checkpoint.
template<typename State>
concept replicated_state = requires(State& aState,
                                    State const& aConst,
                                    log_entry const& aEntry,
                                    log_offset aOffset,
                                    std::string_view aText)
{
  aState.Apply(aEntry);
  {
    aConst.Offset()
    } -> std::same_as<log_offset>;
  {
    aConst.Save()
    } -> std::same_as<std::string>;
  aState.Load(aOffset, aText);
};

}
