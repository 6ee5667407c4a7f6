#pragma once

#include <LibSettings/NumberRange.h>

#include <nlohmann/json_fwd.hpp>

#include <string>

/// \file Values of a settings file, as checks and faults see them.

namespace lycheeseam {

/// True for 1 to 64 letters, digits, '.', '_' and '-'.
bool
IsName(std::string const& aText);

/// What a fault says of the whole numbers that are allowed.
std::string
RangeText(number_range aRange);

/// What a fault shows of the value that was found; null for none.
std::string
ShownValue(nlohmann::json const* aValue);

}
