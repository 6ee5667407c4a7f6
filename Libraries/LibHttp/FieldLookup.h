#pragma once

#include <LibRequest/HeaderField.h>

#include <optional>
#include <span>
#include <string_view>

namespace lycheeseam {

/// True when two header field names are equal, ignoring case.
bool
IsSameFieldName(std::string_view aLeft, std::string_view aRight);

/// The value of the first header field with a name; nothing when there is none.
std::optional<std::string_view>
FindField(std::span<header_field const> aFields, std::string_view aName);

/// True for a header field that concerns one connection only and must not be
/// forwarded: those of RFC 9110, section 7.6.1, and those that the message's
/// own Connection field names.
bool
IsConnectionField(std::span<header_field const> aFields,
                  std::string_view aName);

/// Parses a decimal integer; nothing unless all of the text is one.
std::optional<std::int64_t>
ParseWholeNumber(std::string_view aText);

}
