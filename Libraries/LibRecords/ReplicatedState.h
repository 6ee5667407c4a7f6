#pragma once

#include <LibRecords/LogEntry.h>

#include <concepts>
#include <string>
#include <string_view>

namespace lycheeseam {

/// All of an instance's folds as one state with an offset.
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
