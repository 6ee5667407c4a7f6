#include <LibCodec/ConfigCheckpoint.h>
#include <LibCodec/JsonText.h>
#include <LibCodec/OutcomeSerializers.h>
#include <LibCodec/TableSerializers.h>

#include <deque>
#include <vector>

namespace lycheeseam {

/// A deque is written as a JSON array.
template<typename Value>
struct json_serializer<std::deque<Value>>
{
  using list = std::vector<Value>;

  static std::deque<Value> Read(nlohmann::json const& aJson,
                                json_path const& aPath)
  {
    list values = json_serializer<list>::Read(aJson, aPath);
    return { std::make_move_iterator(values.begin()),
             std::make_move_iterator(values.end()) };
  }

  static nlohmann::json Write(std::deque<Value> const& aValues)
  {
    return json_serializer<list>::Write({ aValues.begin(), aValues.end() });
  }
};

template<>
struct json_fields<config_state>
{
  static constexpr std::tuple kFields{
    RequiredField("tables", &config_state::mTables),
    RequiredField("recent", &config_state::mRecentOutcomes),
  };
};

std::string
checkpoint_serializer<config_fold>::Save(config_fold const& aFold)
{
  return ToJsonText(aFold.State());
}

void
checkpoint_serializer<config_fold>::Load(config_fold& aFold,
                                         std::string_view aText)
{
  aFold.Restore(FromJsonText<config_state>(aText));
}

}
