#include <LibCodec/JsonText.h>

#include <set>
#include <vector>

namespace lycheeseam {

namespace {

using json = nlohmann::json;

// The library silently keeps the last of two fields of the same name. An
// operator who wrote a table twice needs an error instead.
class duplicate_field_check
{
public:
  bool operator()(int, json::parse_event_t aEvent, json& aParsed)
  {
    if (aEvent == json::parse_event_t::object_start)
      mOpen.emplace_back();
    else if (aEvent == json::parse_event_t::object_end)
      mOpen.pop_back();
    else if (aEvent == json::parse_event_t::key)
      AddName(aParsed.get<std::string>());
    return true;
  }

private:
  void AddName(std::string const& aName)
  {
    if (!mOpen.back().insert(aName).second)
      throw codec_error{ "$", aName, "an object names each field once" };
  }

  std::vector<std::set<std::string>> mOpen;
};

}

json
ParseJson(std::string_view aText)
{
  duplicate_field_check check;
  json::parser_callback_t const callback =
    [&check](int aDepth, json::parse_event_t aEvent, json& aParsed) {
      return check(aDepth, aEvent, aParsed);
    };
  try {
    return json::parse(aText, callback);
  } catch (json::parse_error const& fault) {
    throw codec_error{ "$", "the text", fault.what() };
  }
}

std::string
DumpJson(json const& aJson)
{
  try {
    return aJson.dump();
  } catch (json::type_error const& fault) {
    throw codec_error{ "$", "the value", fault.what() };
  }
}

}
