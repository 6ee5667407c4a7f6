#include <LibSettings/ParseUniqueJson.h>
#include <LibSettings/SettingsError.h>

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace lycheeseam {

using nlohmann::json;

namespace {

// The JSON library silently keeps the last of two fields of the same name, so
// that a file could give one setting two values; its parser events show both.
// They don't show the path, so a fault has "$..FIELD", a field at any depth.
class duplicate_field_finder
{
public:
  explicit duplicate_field_finder(std::vector<settings_fault>& aFaults)
    : mFaults(&aFaults)
  {
  }

  bool operator()(int, json::parse_event_t aEvent, json const& aParsed)
  {
    if (aEvent == json::parse_event_t::object_start)
      mOpenObjects.emplace_back();
    if (aEvent == json::parse_event_t::object_end)
      mOpenObjects.pop_back();
    if (aEvent == json::parse_event_t::key)
      AddField(aParsed.get<std::string>());
    return true;
  }

private:
  void AddField(std::string const& aField)
  {
    if (mOpenObjects.back().insert(aField).second)
      return;
    mFaults->push_back({ .mPath = "$.." + aField,
                         .mValue = "the same field twice",
                         .mAllowed = "each field once" });
  }

  std::vector<settings_fault>* mFaults;
  std::vector<std::set<std::string>> mOpenObjects;
};

}

json
ParseUniqueJson(std::string_view aText, std::vector<settings_fault>& aFaults)
{
  try {
    return json::parse(aText, duplicate_field_finder{ aFaults });
  } catch (json::parse_error const& parseError) {
    // The library's message quotes the text, which may contain a key.
    std::string const position = std::to_string(parseError.byte);
    settings_fault fault{ .mPath = "$",
                          .mValue = "a syntax error at byte " + position,
                          .mAllowed = "a JSON object" };
    throw settings_error({ std::move(fault) });
  }
}

}
