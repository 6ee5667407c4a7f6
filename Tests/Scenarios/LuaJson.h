#pragma once

#include <nlohmann/json.hpp>

struct lua_State;

namespace lycheeseam {

/// Converts the Lua value at an index to JSON. A table with a first element, or
/// one marked by array(), becomes an array; any other table an object. Throws
/// scenario_failure for a value that JSON can't represent.
nlohmann::json
LuaToJson(lua_State* aLua, int aIndex);

/// Pushes a JSON value onto the Lua stack; null becomes nil.
void
PushJson(lua_State* aLua, nlohmann::json const& aValue);

}
