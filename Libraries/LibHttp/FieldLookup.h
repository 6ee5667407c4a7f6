#pragma once

#include <LibRequest/HeaderField.h>

#include <optional>
#include <span>
#include <string_view>

namespace lycheeseam {

/// True when two header names are equal; case doesn't count.
bool
IsSameFieldName(std::string_view aLeft, std::string_view aRight);

/// The value of the first header with a name, or nothing.
std::optional<std::string_view>
FindField(std::span<header_field const> aFields, std::string_view aName);

/// True for a header that concerns one connection only: those of RFC 9110,
/// section 7.6.1, and those that the Connection header names.
bool
IsConnectionField(std::span<header_field const> aFields,
                  std::string_view aName);

/// Reads a whole decimal number; nothing for any other text.
std::optional<std::int64_t>
ParseWholeNumber(std::string_view aText);

}
