#pragma once

#include <LibSettings/NumberRange.h>

#include <nlohmann/json_fwd.hpp>

#include <string>

/// \file Checks names and formats values and ranges for faults.

namespace lycheeseam {

/// Returns true for 1 to 64 letters, digits, '.', '_' and '-'.
bool
IsName(std::string const& aText);

/// Returns a fault's text for a range of allowed integers.
std::string
RangeText(number_range aRange);

/// Returns a fault's text for the value found, truncated when long; "nothing"
/// for null.
std::string
ShownValue(nlohmann::json const* aValue);

}
