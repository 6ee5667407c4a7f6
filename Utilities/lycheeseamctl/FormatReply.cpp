#include "FormatReply.h"

#include <nlohmann/json.hpp>

namespace lycheeseam {

namespace {

using nlohmann::json;

// Returns the row's name or digest, which is its first column.
std::string
NameOf(json const& aRow)
{
  for (char const* const field : { "name", "digest" }) {
    auto const found = aRow.find(field);
    if (found != aRow.end() && found->is_string())
      return found->get<std::string>();
  }
  return "-";
}

bool
IsRow(json const& aJson)
{
  return aJson.is_object() && aJson.contains("row") &&
         aJson.contains("version");
}

std::string
FormatRow(json const& aEntry)
{
  json row = aEntry["row"];
  std::string line = NameOf(row) + "  v" + aEntry["version"].dump();
  row.erase("name");
  row.erase("digest");
  for (auto field = row.begin(); field != row.end(); ++field)
    line += "  " + field.key() + "=" + field.value().dump();
  return line + "\n";
}

}

std::string
FormatReply(std::string_view aBody)
{
  json const body = json::parse(aBody, nullptr, false);
  if (body.is_discarded())
    return std::string{ aBody };
  bool const isRows = body.is_array() && !body.empty() && IsRow(body.front());
  if (!isRows)
    return body.dump(2) + "\n";
  std::string text;
  for (json const& entry : body)
    text += FormatRow(entry);
  return text;
}

}
